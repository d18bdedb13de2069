/**
 * What upstreams say of how many requests a second they take from all
 * instances together. Pure: time is an argument.
 */

/** Settings of the limits. */
export interface RateLimitsOptions {
  readonly now: () => number;
  /** Called when an upstream names a limit, another one, or none any more. */
  readonly onChange: (id: string, perSecond: number | undefined) => void;
}

/** What an upstream said last. */
interface Row {
  /** Requests a second; undefined where it names no limit any more. */
  readonly perSecond: number | undefined;
  readonly atMs: number;
  /** The limit of which the last change was told. */
  readonly toldPerSecond: number | undefined;
}

/** Part of a limit by which it changes before that is told as news. */
const NEWS_PART = 0.25;

/** Limits of all upstreams that named one. */
export class RateLimits {
  private readonly rows = new Map<string, Row>();

  constructor(private readonly options: RateLimitsOptions) {}

  /** Notes what an answer of an upstream says; undefined: no limit. */
  note(id: string, perSecond: number | undefined): void {
    const before = this.rows.get(id);
    if (!before && perSecond === undefined) {
      return;
    }
    const toldPerSecond = before?.toldPerSecond;
    const isChanged = isNews(toldPerSecond, perSecond);
    this.rows.set(id, {
      perSecond,
      atMs: this.options.now(),
      toldPerSecond: isChanged ? perSecond : toldPerSecond,
    });
    if (isChanged) {
      this.options.onChange(id, perSecond);
    }
  }

  /** Forgets upstreams that are no longer there. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const id of this.rows.keys()) {
      if (!ids.has(id)) {
        this.rows.delete(id);
      }
    }
  }

  /** Requests a second that an upstream takes; undefined: it names no limit. */
  find(id: string): number | undefined {
    return this.rows.get(id)?.perSecond;
  }
}

const isNews = (told: number | undefined, now: number | undefined): boolean =>
  told === undefined || now === undefined
    ? told !== now
    : Math.abs(now - told) > NEWS_PART * told;
