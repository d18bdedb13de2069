/**
 * Keeps for how long upstreams want no requests from this instance.
 *
 * Load: an upstream that sheds load, and says in its refusals when it accepts
 * requests again. Harm prevented: it refuses within milliseconds, so it looks
 * idle, is chosen ever more often, and each refusal costs a caller one of its
 * repeats. Pure: the clock is an option.
 */

/** One start of an upstream, which knows nothing of earlier ones. */
export interface UpstreamStart {
  readonly id: string;
  /** Wall time of the start, in milliseconds. */
  readonly startedAtMs: number;
}

/** Options of `UpstreamBackoffs`. */
export interface UpstreamBackoffsOptions {
  readonly now: () => number;
  /**
   * Called when an upstream asks for a backoff while it has none, at most once
   * in `ANNOUNCE_INTERVAL_MS` for each upstream.
   */
  readonly onBegin: (id: string, forMs: number) => void;
}

interface Backoff {
  readonly startedAtMs: number;
  readonly untilMs: number;
  /** Time of its last `onBegin`. */
  readonly announcedAtMs: number;
}

/**
 * Minimum time between two calls of `onBegin` for one upstream, in ms: one that
 * asks for a few ms each time would fill the log.
 */
const ANNOUNCE_INTERVAL_MS = 1_000;

/** The backoffs that upstreams asked this instance for. */
export class UpstreamBackoffs {
  private readonly byId = new Map<string, Backoff>();

  constructor(private readonly options: UpstreamBackoffsOptions) {}

  /** Number of upstreams that want no requests now. */
  get activeCount(): number {
    const now = this.options.now();
    return [...this.byId.values()].filter(({untilMs}) => untilMs > now).length;
  }

  /**
   * Records that an upstream wants no requests for `forMs`. An earlier backoff
   * that ends later stays.
   */
  record(start: UpstreamStart, forMs: number): void {
    const {id, startedAtMs} = start;
    const known = this.byId.get(id);
    if (known && known.startedAtMs > startedAtMs) {
      return;
    }
    const remainingMs = this.findRemainingMs(start);
    if (forMs <= remainingMs) {
      return;
    }
    const now = this.options.now();
    const lastMs = known?.announcedAtMs ?? -Infinity;
    const isNew = remainingMs === 0 && now - lastMs >= ANNOUNCE_INTERVAL_MS;
    this.byId.set(id, {
      startedAtMs,
      untilMs: now + forMs,
      announcedAtMs: isNew ? now : lastMs,
    });
    if (isNew) {
      this.options.onBegin(id, forMs);
    }
  }

  /** Time for which an upstream still wants no requests, in ms; 0 if none. */
  findRemainingMs({id, startedAtMs}: UpstreamStart): number {
    const known = this.byId.get(id);
    return known?.startedAtMs === startedAtMs
      ? Math.max(0, known.untilMs - this.options.now())
      : 0;
  }

  /**
   * Drops backoffs that have ended. Those of upstreams that are not registered
   * now stay: an entry may lapse and return before the backoff ends.
   */
  removeEnded(): void {
    const now = this.options.now();
    for (const [id, {untilMs}] of this.byId) {
      if (untilMs <= now) {
        this.byId.delete(id);
      }
    }
  }
}
