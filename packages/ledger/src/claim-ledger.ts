/**
 * Claims of non-idempotent requests: at most one send per request identity,
 * over all instances and retries. See `docs/design/07-claims.md`.
 */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import * as claimAttempt from './claim-attempt.js';
import * as claimLimits from './claim-limits.js';
import * as claimObjects from './claim-objects.js';
import * as claimRecord from './claim-record.js';
import * as circuitBreaker from './circuit-breaker.js';
import type * as requestIdentity from './request-identity.js';
import * as backOff from './util/back-off.js';
import * as voidTokens from './void-tokens.js';

/**
 * Outcome of asking for a claim.
 *
 * - `granted`: this attempt, and no other, may send the request.
 * - `already`: another attempt holds the claim. `finished` carries its answer;
 *   `claimed` means it runs or its instance failed, so the caller's outcome is
 *   `unknown`.
 * - `mismatch`: the key was used before with another body; nothing was sent.
 * - `refused`: this attempt sent nothing and never will.
 */
export type ClaimResult =
  | Exclude<claimAttempt.AttemptResult, {kind: 'unsettled'}>
  | ({readonly kind: 'refused'} & circuitBreaker.Refusal);

/** Why a claim could not be finished or abandoned. */
export interface ClaimError {
  readonly code: 'not_owner' | 'platform_out';
  readonly message: string;
}

/** What another instance knows of a claim that it made. */
export type OwnerStatus = 'void' | 'in_use' | 'no_answer';

/** What a keeper of claims works with. */
export interface ClaimLedgerOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
  /** A new unguessable id with each call. */
  readonly newToken: () => string;
  /** Incarnation of this instance: its id and a random part per start. */
  readonly incarnation: string;
  /**
   * Asks the instance that made a claim whether the claim is void. It bounds its own time. Without it
   * a claim whose owner gave up unsettled stays `claimed`.
   */
  readonly queryOwner?: (
    incarnation: string,
    owner: string,
  ) => Promise<OwnerStatus>;
  readonly limits?: Partial<claimLimits.ClaimLimits>;
}

/** Makes, finishes and abandons claims for one instance. */
export class ClaimLedger {
  private readonly limits: claimLimits.ClaimLimits;
  private readonly breaker: circuitBreaker.CircuitBreaker;
  private readonly voidTokens: voidTokens.VoidTokens;
  private readonly objects: claimObjects.ClaimObjects;
  private inProgress = 0;

  constructor(private readonly options: ClaimLedgerOptions) {
    this.limits = {...claimLimits.DEFAULT_CLAIM_LIMITS, ...options.limits};
    this.breaker = new circuitBreaker.CircuitBreaker({
      ...options,
      minProbeIntervalMs: this.limits.minProbeIntervalMs,
    });
    this.objects = new claimObjects.ClaimObjects({
      ...options,
      callTimeoutMs: this.limits.callTimeoutMs,
    });
    this.voidTokens = new voidTokens.VoidTokens(this.limits.maxVoidTokens);
  }

  /**
   * Asks for the right to send a request. Must precede the first byte sent.
   *
   * @param fingerprint of the request's body, see `fingerprintRequest`
   */
  async claim(
    identity: requestIdentity.RequestIdentity,
    fingerprint: string,
  ): Promise<ClaimResult> {
    const full = this.inProgress >= this.limits.maxInProgress;
    if (full || !this.breaker.allowCall()) {
      return {kind: 'refused', ...this.breaker.createRefusal()};
    }
    this.inProgress++;
    try {
      return await this.attempt(identity, fingerprint);
    } finally {
      this.inProgress--;
    }
  }

  /**
   * Records the answer, so that retries get it in place of a second run. On
   * `platform_out` the claim stays `claimed` and retries get `unknown`.
   */
  async finish(
    claim: claimAttempt.Claim,
    outcome: claimRecord.ClaimOutcome,
  ): Promise<purify.Either<ClaimError, claimRecord.ClaimOutcome>> {
    const kept = claimRecord.boundOutcome(outcome, this.limits.maxOutcomeBytes);
    const value: claimRecord.ClaimRecord = {
      ...claim.record,
      state: 'finished',
      outcome: kept,
    };
    const {name} = claim.identity;
    for (let attempt = 0; attempt < this.limits.maxAttempts; attempt++) {
      await backOff.backOff(this.options, this.limits.backoffMs, attempt);
      const written = await this.objects.update(name, value, claim.version);
      if (written.isRight()) {
        return purify.Right(kept);
      }
      const stored = (await this.objects.read(name))?.record;
      if (stored && stored.owner !== claim.owner) {
        return purify.Left({code: 'not_owner', message: `${name} is taken`});
      }
      if (stored?.state === 'finished') {
        return purify.Right(kept);
      }
    }
    return purify.Left({code: 'platform_out', message: `${name} not recorded`});
  }

  /**
   * Gives a claim up. Only for a request of which certainly no byte was sent.
   * The claim is void from the call on; the object is deleted at once or by
   * `deleteVoidClaims`, and until then the claim can be taken over.
   */
  async abandon(claim: claimAttempt.Claim): Promise<void> {
    const {name} = claim.identity;
    this.markVoid(name, claim.owner);
    const deleted = await this.objects.delete(name, claim.version);
    if (deleted.isRight() && !claim.mayReappear) {
      this.voidTokens.forget(claim.owner);
    }
  }

  /** Answers another instance's question about a claim made here. */
  getOwnerStatus(owner: string): OwnerStatus {
    return this.voidTokens.has(owner) ? 'void' : 'in_use';
  }

  /**
   * Deletes objects of void claims, `limit` at most. Call it every few
   * seconds: a lost create can take effect after its attempt gave up, and
   * even after the attempt's claim was deleted.
   */
  async deleteVoidClaims(limit = 10): Promise<void> {
    const nowMs = this.options.clock.now();
    for (const owner of this.voidTokens.takeDue(nowMs, limit)) {
      await this.deleteVoidClaim(owner);
    }
  }

  /** Void claims that may still have an object. */
  get voidCount(): number {
    return this.voidTokens.size;
  }

  private async attempt(
    identity: requestIdentity.RequestIdentity,
    fingerprint: string,
  ): Promise<ClaimResult> {
    const attempt = new claimAttempt.ClaimAttempt(
      {
        ...this.options,
        objects: this.objects,
        limits: this.limits,
        isVoid: record => this.isVoid(record),
      },
      identity,
      this.createRecord(fingerprint),
    );
    const settled = await attempt.settle();
    // Void before the answer, so that no later read can grant it.
    if (settled.kind !== 'granted' && attempt.mayExist) {
      this.markVoid(identity.name, attempt.record.owner);
    }
    if (settled.kind !== 'unsettled') {
      this.breaker.recordSuccess();
      return settled;
    }
    this.breaker.recordFailure();
    return this.refuseUnsettled(settled.seen);
  }

  private createRecord(fingerprint: string): claimRecord.ClaimRecord {
    const {clock, incarnation, newToken} = this.options;
    return {
      owner: newToken(),
      incarnation,
      fingerprint,
      state: 'claimed',
      atWallMs: clock.wallTime(),
    };
  }

  /**
   * Where a claim was seen but could not be read, someone may be running the
   * request: `not_run` would mislead the caller.
   */
  private refuseUnsettled(seen: boolean): ClaimResult {
    return seen
      ? {kind: 'already', state: 'claimed'}
      : {kind: 'refused', ...this.breaker.createRefusal()};
  }

  private markVoid(name: string, owner: string): void {
    this.voidTokens.add(owner, name, this.options.clock.now());
  }

  private async isVoid(record: claimRecord.ClaimRecord): Promise<boolean> {
    if (record.incarnation === this.options.incarnation) {
      return this.voidTokens.has(record.owner);
    }
    const {queryOwner} = this.options;
    if (!queryOwner) {
      return false;
    }
    return (await queryOwner(record.incarnation, record.owner)) === 'void';
  }

  private async deleteVoidClaim(owner: string): Promise<void> {
    const name = this.voidTokens.getName(owner);
    if (name === undefined) {
      return;
    }
    const found = await this.objects.read(name);
    if (found?.record.owner === owner) {
      await this.objects.delete(name, found.version);
    }
  }
}
