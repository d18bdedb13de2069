/**
 * A lease in the platform's object API: at most one holder may act at a time.
 *
 * Clocks of instances are never compared. The holder counts its time from
 * before it sent the write that the platform took; another instance counts
 * from when it saw that write, which is later, and takes over by an update
 * that is conditional on having seen the latest one.
 */
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';

/** Kind of the lease objects. */
export const LEASE_KIND = 'lease';

/**
 * Time that a lease lasts without renewal, in milliseconds. Short enough that
 * a roll-out or pool is without its keeper for little more than 10 s after a
 * kill; long enough to ride over two lost renewals.
 */
export const LEASE_MS = 10_000;

/**
 * Share of the lease that the holder uses. The rest covers clocks that run at
 * rates differing by far more than quartz does.
 */
const HOLDER_SHARE = 0.9;

/** What a lease object holds. */
interface LeaseRecord {
  /** Instance that holds it; empty when released. */
  readonly holder: string;
  /** Unique for each keeper, so that a lost answer can be settled. */
  readonly token: string;
  /** Number of the keeper's write. */
  readonly write: number;
  readonly leaseMs: number;
}

/**
 * Why a lease is not held.
 *
 * - `held`: another holder has it, or won the race.
 * - `unavailable`: the platform did not answer usefully; try again.
 */
export interface LeaseError {
  readonly code: 'held' | 'unavailable';
  readonly message: string;
}

/** A lease as its holder has it. */
export interface LeaseTerm {
  /**
   * Version of the write that began this term. Later terms have higher ones:
   * an upstream that keeps the highest refuses orders of earlier holders.
   */
  readonly fencing: number;
}

/** Parts that a keeper works with. */
export interface LeaseKeeperOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Name of what is leased. */
  readonly name: string;
  /** Identity of this instance. */
  readonly holder: string;
  /** Unique for each keeper that is created, never used again. */
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

/** Takes, renews and gives up one lease for one instance. */
export class LeaseKeeper {
  private readonly leaseMs: number;
  private term: LeaseTerm | undefined;
  /** Monotonic time until which this instance may act. */
  private actsUntil = -Infinity;
  /** Version of the lease object as last known. */
  private version = 0;
  private write = 0;
  /** When each write that is not yet settled was sent. */
  private readonly sentAt = new Map<number, number>();
  private observation: Observation | undefined;

  constructor(private readonly options: LeaseKeeperOptions) {
    this.leaseMs = options.leaseMs ?? LEASE_MS;
  }

  /**
   * Whether an order may be given now; asked before each one. The failure
   * guarded against: a holder paused past its lease wakes and goes on giving
   * orders beside its successor. The monotonic clock has moved on meanwhile,
   * so the first look after the pause already says no. A pause between this
   * look and the order itself is covered by the fencing number.
   */
  mayAct(): boolean {
    return this.term !== undefined && this.options.clock.now() < this.actsUntil;
  }

  /** The term that this instance may act in; undefined when it may not. */
  currentTerm(): LeaseTerm | undefined {
    return this.mayAct() ? this.term : undefined;
  }

  /** Takes the lease if it is free or has lapsed. */
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
      // A lapsed term is not revived, though nobody may have taken over yet:
      // a new one gets a new fencing number.
      this.endTerm();
      return fail('held', `the lease ${name} lapsed`);
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

  /** Gives the lease up, so that the next holder need not wait. */
  async release(): Promise<void> {
    const {store, name, token} = this.options;
    if (!this.term) {
      return;
    }
    // No order after this point, whatever becomes of the write below: when it
    // is lost, the lease lapses.
    this.endTerm();
    const record = {holder: '', token, write: ++this.write, leaseMs: 0};
    const result = await store.update(LEASE_KIND, name, record, this.version);
    if (result.isRight()) {
      return;
    }
    // A renewal whose answer was lost may have moved the version.
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
    const isLapsed = clock.now() - this.observation.at >= record.leaseMs;
    if (!isFree && !isLapsed) {
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
   * Finds out whose lease it is after a lost answer or a conflict, which may
   * be with an earlier write of this keeper whose answer was lost. The token
   * in the object says whose write took effect and which one.
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
      : fail('unavailable', 'an earlier write is still the latest');
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
      sentAt + this.leaseMs * HOLDER_SHARE,
    );
    return this.term;
  }
}
