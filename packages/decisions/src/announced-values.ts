/**
 * Values that upstreams announce in their answers, shared among instances.
 *
 * An instance forwards the latest value with its age, so that those that the
 * upstream did not answer know it too, and all learn when it is withdrawn.
 * Pure: the clock is an option.
 */

/** Options of `AnnouncedValues`. */
export interface AnnouncedValuesOptions {
  readonly now: () => number;
  /** Called when a value is set, changes significantly, or is withdrawn. */
  readonly onChange: (id: string, perSecond: number | undefined) => void;
}

/** Value of an upstream as instances report it to each other. */
export interface ReportedValue {
  readonly id: string;
  /** A rate per second; absent when it is withdrawn. */
  readonly perSecond?: number | undefined;
  /** Time since the upstream announced it, in milliseconds. */
  readonly ageMs: number;
}

/** Latest value that an upstream announced. */
interface KnownValue {
  /** A rate per second; undefined when it is withdrawn. */
  readonly perSecond: number | undefined;
  /** Time at which the upstream announced it. */
  readonly atMs: number;
  /** The value at its last significant change. */
  readonly announcedPerSecond: number | undefined;
  /** Time at which this instance learned of that change. */
  readonly announcedAtMs: number;
}

/** Relative change of a value from which it counts as significant. */
const SIGNIFICANT_CHANGE = 0.25;

/**
 * Time for which a significant change is reported, in milliseconds: a few
 * rounds of messages. All values are reported again every `REPEAT_EVERY_MS`,
 * for `REPEAT_MS`, for instances that were cut off or have just started.
 * Reporting all of them in each message would exceed the message size allowed
 * between instances.
 */
const ANNOUNCE_MS = 3_000;
const REPEAT_EVERY_MS = 20_000;
const REPEAT_MS = 1_000;

/**
 * Age after which a value expires, in milliseconds. Reports are repeated
 * several times within it, so for an older value all later ones were lost.
 */
const EXPIRY_MS = 60_000;

/**
 * Time by which a report of another instance must be newer than what is known,
 * in milliseconds. The age in a report does not include its transmission, so an
 * own report that comes back would look newer.
 */
const MIN_NEWER_MS = 100;

/** The values of all upstreams that announced one. */
export class AnnouncedValues {
  private readonly knownValues = new Map<string, KnownValue>();

  constructor(private readonly options: AnnouncedValuesOptions) {}

  /** Ids of the upstreams that have a value now. */
  get ids(): readonly string[] {
    return [...this.knownValues.keys()].filter(
      id => this.find(id) !== undefined,
    );
  }

  /** Records the value in an answer of an upstream; undefined for none. */
  record(id: string, perSecond: number | undefined): void {
    if (perSecond !== undefined || this.knownValues.has(id)) {
      this.set(id, perSecond, this.options.now());
    }
  }

  /** Merges the values reported by another instance. */
  merge(reports: readonly ReportedValue[]): void {
    const now = this.options.now();
    for (const {id, perSecond, ageMs} of reports) {
      const atMs = now - ageMs;
      const known = this.knownValues.get(id);
      const isNewer = !known || atMs - known.atMs > MIN_NEWER_MS;
      if (isNewer && (known || perSecond !== undefined)) {
        this.set(id, perSecond, atMs);
      }
    }
  }

  /** Values to report to other instances now. */
  report(): readonly ReportedValue[] {
    const now = this.options.now();
    const isRepeatDue = now % REPEAT_EVERY_MS < REPEAT_MS;
    return [...this.knownValues].flatMap(
      ([id, {perSecond, atMs, announcedAtMs}]) => {
        const isNew = now - announcedAtMs <= ANNOUNCE_MS;
        const ageMs = Math.max(0, now - atMs);
        return isNew || isRepeatDue ? [{id, perSecond, ageMs}] : [];
      },
    );
  }

  /** Current value of an upstream, if it has one. */
  find(id: string): number | undefined {
    const known = this.knownValues.get(id);
    const isKnown = known && this.options.now() - known.atMs <= EXPIRY_MS;
    return isKnown ? known.perSecond : undefined;
  }

  /**
   * Drops the state of upstreams that are not in `ids` and have no value. One
   * with a value is kept until that expires, because its entry may lapse and
   * return, and the value holds meanwhile.
   */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.knownValues.keys()) {
      if (!ids.has(id) && this.find(id) === undefined) {
        this.knownValues.delete(id);
      }
    }
  }

  private set(id: string, perSecond: number | undefined, atMs: number): void {
    const before = this.knownValues.get(id);
    if (before && !isSignificantChange(before.announcedPerSecond, perSecond)) {
      this.knownValues.set(id, {...before, perSecond, atMs});
      return;
    }
    const announcedAtMs = this.options.now();
    this.knownValues.set(id, {
      perSecond,
      atMs,
      announcedPerSecond: perSecond,
      announcedAtMs,
    });
    this.options.onChange(id, perSecond);
  }
}

const isSignificantChange = (
  before: number | undefined,
  after: number | undefined,
): boolean =>
  before === undefined || after === undefined
    ? before !== after
    : Math.abs(after - before) > SIGNIFICANT_CHANGE * before;
