/** One attempt to create a claim, until it is known who owns the claim. */
import type * as ports from '@amaranthknot/ports';
import type * as claimLimits from './claim-limits.js';
import type * as claimObjects from './claim-objects.js';
import type * as claimRecord from './claim-record.js';
import type * as requestIdentity from './request-identity.js';
import * as backOff from './util/back-off.js';

/** The right of one attempt to send one request once. */
export interface Claim {
  readonly identity: requestIdentity.RequestIdentity;
  readonly owner: string;
  /** Version of the claim object, needed to finish or abandon the claim. */
  readonly version: number;
  readonly record: claimRecord.ClaimRecord;
  /** Whether a delayed write may create the claim's object again. */
  readonly mayReappear: boolean;
}

/** Result of an attempt; see `ClaimResult`. */
export type AttemptResult =
  | {readonly kind: 'granted'; readonly claim: Claim}
  | {
      readonly kind: 'already';
      readonly state: claimRecord.ClaimState;
      readonly outcome?: claimRecord.ClaimOutcome;
    }
  | {readonly kind: 'mismatch'}
  | {
      readonly kind: 'unsettled';
      /** Whether a claim, of this or another attempt, certainly existed. */
      readonly seen: boolean;
    };

/** Dependencies and settings of a `ClaimAttempt`. */
export interface ClaimAttemptOptions {
  readonly objects: claimObjects.ClaimObjects;
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly limits: claimLimits.ClaimLimits;
  /** Whether the owner of a claim has sent nothing and never will. */
  readonly isVoid: (record: claimRecord.ClaimRecord) => Promise<boolean>;
}

/** Creates one claim object, or finds out who owns it. */
export class ClaimAttempt {
  private seen = false;
  /** Whether a write of this attempt may have taken effect, or still may. */
  mayExist = false;

  /** @param record its owner token must not be used by any other attempt */
  constructor(
    private readonly options: ClaimAttemptOptions,
    private readonly identity: requestIdentity.RequestIdentity,
    readonly record: claimRecord.ClaimRecord,
  ) {}

  async settle(): Promise<AttemptResult> {
    const {clock, limits} = this.options;
    const deadline = clock.now() + limits.claimTimeoutMs;
    for (let attempt = 0; attempt < limits.maxAttempts; attempt++) {
      await backOff.backOff(this.options, limits.backoffMs, attempt);
      if (clock.now() >= deadline) {
        break;
      }
      const result = (await this.create()) ?? (await this.readBack());
      if (result) {
        return result;
      }
    }
    return {kind: 'unsettled', seen: this.seen};
  }

  private async create(): Promise<AttemptResult | undefined> {
    const {objects} = this.options;
    const created = await objects.create(this.identity.name, this.record);
    return created
      .map(object => this.grant(object.version))
      .ifLeft(error => {
        this.seen ||= error.code === 'conflict';
        this.mayExist ||= error.code === 'unknown';
      })
      .toMaybe()
      .extract();
  }

  /**
   * Reads the claim after a create whose answer was lost. Otherwise the caller
   * would be refused although its claim exists, or two attempts would both
   * assume that they own it. The owner token, which is never reused, identifies
   * the owner.
   */
  private async readBack(): Promise<AttemptResult | undefined> {
    if (!this.seen && !this.mayExist) {
      return undefined;
    }
    const found = await this.options.objects.read(this.identity.name);
    if (!found) {
      return undefined;
    }
    this.seen = true;
    const {record, version} = found;
    if (record.owner === this.record.owner) {
      return this.grant(version);
    }
    if (record.state === 'claimed' && (await this.options.isVoid(record))) {
      return this.takeOver(version);
    }
    if (record.fingerprint !== this.record.fingerprint) {
      return {kind: 'mismatch'};
    }
    const {state, outcome} = record;
    return {kind: 'already', state, ...(outcome ? {outcome} : {})};
  }

  /**
   * Replaces a void claim; the expected version lets only one attempt do so.
   */
  private async takeOver(version: number): Promise<AttemptResult | undefined> {
    const {objects} = this.options;
    const {name} = this.identity;
    const updated = await objects.update(name, this.record, version);
    return updated
      .map(object => this.grant(object.version))
      .ifLeft(error => {
        this.mayExist ||= error.code === 'unknown';
      })
      .toMaybe()
      .extract();
  }

  private grant(version: number): AttemptResult {
    const {identity, record, mayExist: mayReappear} = this;
    const claim = {
      identity,
      owner: record.owner,
      version,
      record,
      mayReappear,
    };
    return {kind: 'granted', claim};
  }
}
