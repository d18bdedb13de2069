/**
 * A lease in the platform's object API: at most one holder may act at a time.
 *
 * Clocks of instances are never compared. The holder counts its time from
 * before it sent the write that the platform accepted. Another instance counts
 * from when it saw that write, which is later, and takes over by an update that
 * is conditional on the version that it saw last.
 */
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';

/** Object kind of the leases. */
export const LEASE_KIND = 'lease';

/**
 * Time for which a lease is valid without renewal, in milliseconds. It is short
 * enough that a rollout or a pool has no holder for little more than 10 s after
 * a kill, and long enough that two renewals may be lost.
 */
export const LEASE_MS = 10_000;

/**
 * Fraction of the lease that the holder uses. The rest covers clocks whose
 * rates differ by far more than those of quartz clocks do.
 */
const HOLDER_FRACTION = 0.9;

/** Contents of a lease object. */
interface LeaseRecord {
  /** Id of the instance that holds it; empty if released. */
  readonly holder: string;
  /**
   * Unique for each keeper, so that the outcome of a write can be found out
   * after its answer was lost.
   */
  readonly token: string;
  /** Sequence number of the keeper's write. */
  readonly write: number;
  readonly leaseMs: number;
}

/**
 * Reason why a lease is not held.
 *
 * - `held`: another holder has it, or won the race, or the term expired.
 * - `unavailable`: the platform gave no usable answer; try again.
 */
export interface LeaseError {
  readonly code: 'held' | 'unavailable';
  readonly message: string;
}

/** A term of a lease, as its holder has it. */
export interface LeaseTerm {
  /**
   * Object version of the write that began this term. Later terms have higher
   * ones, so an upstream that keeps the highest refuses commands of earlier
   * holders.
   */
  readonly fencing: number;
}

/** Dependencies and settings of a `LeaseKeeper`. */
export interface LeaseKeeperOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Name of what is leased. */
  readonly name: string;
  /** Id of this instance. */
  readonly holder: string;
  /** Unique for each keeper that is created; never reused. */
  readonly token: string;
  readonly leaseMs?: number;
}

interface Observation {
  readonly version: number;
  readonly at: number;
}

const fail = (
  code: LeaseError['code'],
  message: string,
): purify.Either<LeaseError, never> => purify.Left({code, message});

const failUnavailable = (
  error: ports.StoreError,
): purify.Either<LeaseError, never> => fail('unavailable', error.message);

/** Acquires, renews and releases one lease for one instance. */
export class LeaseKeeper {
  private readonly leaseMs: number;
  private term: LeaseTerm | undefined;
  /** Monotonic time until which this instance may act. */
  private actsUntil = -Infinity;
  /** Version of the lease object as last known. */
  private version = 0;
  private write = 0;
  /** When each write whose outcome is not yet known was sent. */
  private readonly sentAt = new Map<number, number>();
  private observation: Observation | undefined;

  constructor(private readonly options: LeaseKeeperOptions) {
    this.leaseMs = options.leaseMs ?? LEASE_MS;
  }

  /**
   * Whether a command may be sent now. Call it before each one.
   *
   * Guards against a holder that is paused past its lease, resumes, and goes on
   * sending commands beside its successor. The monotonic clock has advanced
   * meanwhile, so the first check after the pause already returns false. A
   * pause between this check and the command itself is covered by the fencing
   * number.
   */
  mayAct(): boolean {
    return this.term !== undefined && this.options.clock.now() < this.actsUntil;
  }

  /** The term that this instance may act in; undefined when it may not. */
  currentTerm(): LeaseTerm | undefined {
    return this.mayAct() ? this.term : undefined;
  }

  /** Acquires the lease if it is free or has expired. */
  async acquire(): Promise<purify.Either<LeaseError, LeaseTerm>> {
    this.endTerm();
    const {store, name} = this.options;
    const read = await store.get(LEASE_KIND, name);
    if (read.isRight()) {
      return this.takeOver(read.unsafeCoerce());
    }
    const error = read.swap().unsafeCoerce();
    return error.code === 'not_found'
      ? this.send(record => store.create(LEASE_KIND, name, record))
      : failUnavailable(error);
  }

  /** Extends the term; on `held` it is over for good. */
  async renew(): Promise<purify.Either<LeaseError, LeaseTerm>> {
    const {store, name} = this.options;
    if (!this.mayAct()) {
      // An expired term is not renewed, though nobody may have taken over yet:
      // a new term gets a new fencing number.
      this.endTerm();
      return fail('held', `lease ${name} is not held here any more`);
    }
    const result = await this.send(record =>
      store.update(LEASE_KIND, name, record, this.version),
    );
    result.ifLeft(({code}) => {
      if (code === 'held') {
        this.endTerm();
      }
    });
    return result;
  }

  /** Releases the lease, so that the next holder need not wait. */
  async release(): Promise<void> {
    const {store, name, token} = this.options;
    if (!this.term) {
      return;
    }
    // No command is allowed after this point, whatever becomes of the write
    // below: if it is lost, the lease expires.
    this.endTerm();
    const record = {holder: '', token, write: ++this.write, leaseMs: 0};
    const result = await store.update(LEASE_KIND, name, record, this.version);
    if (result.isRight()) {
      return;
    }
    // A renewal whose answer was lost may have changed the version.
    const read = await store.get(LEASE_KIND, name);
    const object = read.toMaybe().extract();
    if (object && (object.value as LeaseRecord).token === token) {
      await store.update(LEASE_KIND, name, record, object.version);
    }
  }

  private endTerm(): void {
    this.term = undefined;
    this.actsUntil = -Infinity;
  }

  private takeOver(
    object: ports.StoredObject,
  ): Promise<purify.Either<LeaseError, LeaseTerm>> {
    const {store, name, clock, token} = this.options;
    const record = object.value as LeaseRecord;
    if (this.observation?.version !== object.version) {
      this.observation = {version: object.version, at: clock.now()};
    }
    const isFree = record.holder === '' || record.token === token;
    const isExpired = clock.now() - this.observation.at >= record.leaseMs;
    if (!isFree && !isExpired) {
      return Promise.resolve(fail('held', `${record.holder} holds ${name}`));
    }
    return this.send(next =>
      store.update(LEASE_KIND, name, next, object.version),
    );
  }

  /** Sends a write, and counts the term from before it was sent. */
  private async send(
    call: (
      record: LeaseRecord,
    ) => Promise<ports.StoreResult<ports.StoredObject>>,
  ): Promise<purify.Either<LeaseError, LeaseTerm>> {
    const {clock, holder, token} = this.options;
    const write = ++this.write;
    this.sentAt.set(write, clock.now());
    const result = await call({holder, token, write, leaseMs: this.leaseMs});
    if (result.isRight()) {
      return purify.Right(this.grant(result.unsafeCoerce()));
    }
    const error = result.swap().unsafeCoerce();
    switch (error.code) {
      case 'unavailable':
      case 'not_found':
      case 'history_gone':
        return failUnavailable(error);
      case 'conflict':
      case 'unknown':
        return this.resolveOutcome();
    }
  }

  /**
   * Finds out who holds the lease after a lost answer or a conflict. A conflict
   * may be with an earlier write of this keeper whose answer was lost. The
   * token and write number in the object show whose write took effect, and
   * which one.
   */
  private async resolveOutcome(): Promise<
    purify.Either<LeaseError, LeaseTerm>
  > {
    const {store, name, token} = this.options;
    const read = await store.get(LEASE_KIND, name);
    if (read.isLeft()) {
      return failUnavailable(read.swap().unsafeCoerce());
    }
    const object = read.unsafeCoerce();
    const record = object.value as LeaseRecord;
    if (record.token !== token && object.version < this.version) {
      return fail('unavailable', 'the platform answered with an old version');
    }
    if (record.token !== token || record.holder === '') {
      return fail('held', `${record.holder} holds ${name}`);
    }
    return this.sentAt.has(record.write)
      ? purify.Right(this.grant(object))
      : fail(
          'unavailable',
          'the write did not take effect; an earlier one is the latest',
        );
  }

  private grant(object: ports.StoredObject): LeaseTerm {
    const {write} = object.value as LeaseRecord;
    const sentAt = this.sentAt.get(write) ?? -Infinity;
    for (const older of [...this.sentAt.keys()]) {
      if (older <= write) {
        this.sentAt.delete(older);
      }
    }
    this.version = object.version;
    this.term ??= {fencing: object.version};
    this.actsUntil = Math.max(
      this.actsUntil,
      sentAt + this.leaseMs * HOLDER_FRACTION,
    );
    return this.term;
  }
}
