/**
 * Claims of non-idempotent requests: each request identity is sent at most
 * once, across all instances and retries. See `docs/design/07-claims.md`.
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
 * Result of a request for a claim.
 *
 * - `granted`: this attempt, and no other, may send the request.
 * - `already`: another attempt owns the claim. State `finished` carries its
 *   answer; `claimed` means that it is running or that its instance failed, so
 *   the outcome for the caller is `unknown`.
 * - `mismatch`: the key was used with another body; nothing was sent.
 * - `refused`: this attempt has sent nothing and never will.
 */
export type ClaimResult =
  | Exclude<claimAttempt.AttemptResult, {kind: 'unsettled'}>
  | ({readonly kind: 'refused'} & circuitBreaker.Refusal);

/** Why a claim could not be finished or abandoned. */
export interface ClaimError {
  readonly code: 'not_owner' | 'platform_out';
  readonly message: string;
}

/** What the instance that made a claim knows about it. */
export type OwnerStatus = 'void' | 'in_use' | 'no_answer';

/** Dependencies and settings of a `ClaimLedger`. */
export interface ClaimLedgerOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
  /** Returns a new unguessable id on each call. */
  readonly newToken: () => string;
  /** Id of this instance and a random part that is new at each start. */
  readonly incarnation: string;
  /**
   * Asks the instance that made a claim whether the claim is void. It must have
   * a timeout of its own. Without this function, a claim whose attempt gave up
   * before it was settled stays `claimed`.
   */
  readonly queryOwner?: (
    incarnation: string,
    owner: string,
  ) => Promise<OwnerStatus>;
  readonly limits?: Partial<claimLimits.ClaimLimits>;
}

/** Creates, finishes and abandons claims for one instance. */
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
   * Requests the right to send a request; call it before the first byte is
   * sent.
   *
   * @param fingerprint fingerprint of the body, from `fingerprintRequest`
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
   * Records the answer, so that retries receive it instead of running the
   * request again. On `platform_out` the claim stays `claimed`, and retries get
   * `unknown`.
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
        return purify.Left({
          code: 'not_owner',
          message: `claim ${name} belongs to another attempt`,
        });
      }
      if (stored?.state === 'finished') {
        return purify.Right(kept);
      }
    }
    return purify.Left({
      code: 'platform_out',
      message: `answer not recorded in claim ${name}`,
    });
  }

  /**
   * Gives up a claim; allowed only if no byte of the request was sent. The
   * claim is void at once and can be taken over until its object is deleted,
   * here or by `deleteVoidClaims`.
   */
  async abandon(claim: claimAttempt.Claim): Promise<void> {
    const {name} = claim.identity;
    this.markVoid(name, claim.owner);
    const deleted = await this.objects.delete(name, claim.version);
    if (deleted.isRight() && !claim.mayReappear) {
      this.voidTokens.forget(claim.owner);
    }
  }

  /** Status of a claim made by this instance, for another instance's query. */
  getOwnerStatus(owner: string): OwnerStatus {
    return this.voidTokens.has(owner) ? 'void' : 'in_use';
  }

  /**
   * Deletes objects of void claims, at most `limit`. Call it every few seconds:
   * a delayed create can take effect after its attempt gave up, and even after
   * the attempt's claim was deleted.
   */
  async deleteVoidClaims(limit = 10): Promise<void> {
    const nowMs = this.options.clock.now();
    for (const owner of this.voidTokens.takeDue(nowMs, limit)) {
      await this.deleteVoidClaim(owner);
    }
  }

  /** Number of void claims that may still have an object. */
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
    // Mark the claim void before answering, so that no later read can grant it.
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
   * If a claim exists but could not be read, another attempt may be running the
   * request, so that `not_run` could be false.
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
