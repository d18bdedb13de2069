/**
 * Remembers which upstreams said in an answer that they are leaving.
 *
 * Guards against requests to an upstream that is about to exit, while its entry
 * in the store still says that it is ready, or is out of reach. Pure: the clock
 * is an option.
 */
import type * as upstreamBackoffs from './upstream-backoffs.js';

/** Options of `LeavingNotices`. */
export interface LeavingNoticesOptions {
  readonly now: () => number;
  /** Called at the first notice of each start of an upstream. */
  readonly onFirst: (id: string) => void;
}

interface Notice {
  readonly startedAtMs: number;
  readonly atMs: number;
}

/**
 * Time for which the notice of an upstream without an entry is kept, in
 * milliseconds: an entry may lapse in an outage of the store and return.
 */
const UNREGISTERED_TTL_MS = 600_000;

/** The upstreams that said that they are leaving. */
export class LeavingNotices {
  private readonly byId = new Map<string, Notice>();

  constructor(private readonly options: LeavingNoticesOptions) {}

  /** Records that this start of an upstream is leaving. */
  record({id, startedAtMs}: upstreamBackoffs.UpstreamStart): void {
    const known = this.byId.get(id);
    if (known && known.startedAtMs > startedAtMs) {
      return;
    }
    this.byId.set(id, {startedAtMs, atMs: this.options.now()});
    if (known?.startedAtMs !== startedAtMs) {
      this.options.onFirst(id);
    }
  }

  /** Whether this start of an upstream said that it is leaving. */
  has({id, startedAtMs}: upstreamBackoffs.UpstreamStart): boolean {
    return this.byId.get(id)?.startedAtMs === startedAtMs;
  }

  /** Drops old notices of upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    const now = this.options.now();
    for (const [id, {atMs}] of this.byId) {
      if (!ids.has(id) && now - atMs > UNREGISTERED_TTL_MS) {
        this.byId.delete(id);
      }
    }
  }
}
