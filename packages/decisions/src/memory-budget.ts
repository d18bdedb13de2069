/**
 * Bounds the bytes of callers' bodies and upstreams' answers that an instance
 * holds at once. Pure.
 *
 * Made for 150 callers who send 0.9 MB each at once, and 60 who don't read
 * answers of 8 MB. Guards against an instance over its memory limit: it is
 * killed, and all that it has accepted is lost.
 */

/** What bytes are held for. */
export type MemoryUse = 'body' | 'answer';

/**
 * Parts of the memory limit that each use may hold. The rest is for the program,
 * for what V8 has not collected yet, and for buffers of connections.
 */
const FRACTION: Readonly<Record<MemoryUse, number>> = {
  body: 0.17,
  answer: 0.13,
};

/** Bytes of one exchange and use up to which it counts as small. */
const SMALL_BYTES = 65_536;

/** Part of each bound that large exchanges may use; small ones use it all. */
const LARGE_FRACTION = 0.75;

/** A wait for room. */
interface Wait {
  readonly lease: MemoryLease;
  readonly bytes: number;
  readonly grant: () => void;
}

/** The bytes that all exchanges of one instance hold. */
export class MemoryBudget {
  private readonly limits: Readonly<Record<MemoryUse, number>>;
  private readonly held: Record<MemoryUse, number> = {body: 0, answer: 0};
  private waits: Wait[] = [];
  /** Exchange whose answer is read beyond the bound; see `requestAnswer`. */
  private exempt: MemoryLease | undefined;

  /** @param limitBytes memory that the process may use in all. */
  constructor(limitBytes: number) {
    this.limits = {
      body: limitBytes * FRACTION.body,
      answer: limitBytes * FRACTION.answer,
    };
  }

  /** Bytes held now, of all uses. */
  get heldBytes(): number {
    return this.held.body + this.held.answer;
  }

  /** Begins an exchange that holds nothing yet. */
  createLease(): MemoryLease {
    return new MemoryLease(this);
  }

  /** Whether there is room for `bytes` more of a body for `lease`. */
  hasRoomForBody(lease: MemoryLease, bytes: number): boolean {
    return this.fits(lease, 'body', bytes);
  }

  /** Takes bytes of a body for `lease`; false if there is no room. */
  takeBody(lease: MemoryLease, bytes: number): boolean {
    if (!this.fits(lease, 'body', bytes)) {
      return false;
    }
    this.take(lease, 'body', bytes);
    return true;
  }

  /**
   * Takes `bytes` more of an answer for `lease` and returns true if there is
   * room; else returns false and calls `grant` when there is, in the order of the
   * requests. An answer that has been produced is never refused. One at a time
   * may exceed the bound, so that answers that are read in part can't wait for
   * each other for ever.
   */
  requestAnswer(lease: MemoryLease, bytes: number, grant: () => void): boolean {
    if (this.mayTakeAnswer(lease, bytes)) {
      this.take(lease, 'answer', bytes);
      return true;
    }
    this.waits.push({lease, bytes, grant});
    return false;
  }

  /** Gives back what `lease` holds for `use`; its waits end without a grant. */
  release(lease: MemoryLease, use: MemoryUse): void {
    this.held[use] -= lease.held[use];
    lease.held[use] = 0;
    if (use === 'body') {
      return;
    }
    this.waits = this.waits.filter(wait => wait.lease !== lease);
    if (this.exempt === lease) {
      this.exempt = undefined;
    }
    this.grantWaits();
  }

  private fits(lease: MemoryLease, use: MemoryUse, bytes: number): boolean {
    const isSmall = lease.held[use] + bytes <= SMALL_BYTES;
    const limit = this.limits[use] * (isSmall ? 1 : LARGE_FRACTION);
    return this.held[use] + bytes <= limit;
  }

  private mayTakeAnswer(lease: MemoryLease, bytes: number): boolean {
    if (this.exempt === lease || this.fits(lease, 'answer', bytes)) {
      return true;
    }
    if (this.exempt) {
      return false;
    }
    this.exempt = lease;
    return true;
  }

  private take(lease: MemoryLease, use: MemoryUse, bytes: number): void {
    lease.held[use] += bytes;
    this.held[use] += bytes;
  }

  private grantWaits(): void {
    const {waits} = this;
    this.waits = [];
    for (const {lease, bytes, grant} of waits) {
      if (this.requestAnswer(lease, bytes, grant)) {
        grant();
      }
    }
  }
}

/** The bytes that one exchange holds. */
export class MemoryLease {
  /** Only its budget changes them. */
  readonly held: Record<MemoryUse, number> = {body: 0, answer: 0};
  private isOver = false;

  constructor(private readonly budget: MemoryBudget) {}

  /** Whether there is room for `bytes` more of the caller's body now. */
  hasRoomForBody(bytes: number): boolean {
    return this.budget.hasRoomForBody(this, bytes);
  }

  /** Takes bytes of the caller's body; false if there is no room. */
  takeBody(bytes: number): boolean {
    return this.budget.takeBody(this, bytes);
  }

  /** See `MemoryBudget.requestAnswer`; an exchange that is over takes nothing. */
  requestAnswer(bytes: number, grant: () => void): boolean {
    return this.isOver || this.budget.requestAnswer(this, bytes, grant);
  }

  /** Gives the body back: no attempt will send it any more. */
  releaseBody(): void {
    this.budget.release(this, 'body');
  }

  /** Gives all back: the answer has left this process. */
  end(): void {
    this.isOver = true;
    this.budget.release(this, 'body');
    this.budget.release(this, 'answer');
  }
}
