/** Watches the head of an environment at the platform. */
import type * as ports from '@amaranthknot/ports';
import * as configurationHead from './configuration-head.js';
import type * as configurationRelay from './configuration-relay.js';

/**
 * Longest wait of one watch, in milliseconds. Each answer confirms the
 * configuration as of the start of the call, so ages stay below twice this plus
 * a delay. That is below the 2.5 s after which new work stops, even if one call
 * fails. 27 watchers make 39 calls/s of the platform's 2,000.
 */
export const WATCH_TIMEOUT_MS = 700;

/**
 * Time between reads of the head, in milliseconds, in case a watch missed an
 * event: the platform keeps a bounded number of events.
 */
const HEAD_READ_INTERVAL_MS = 10_000;

/** Dependencies and settings of a `HeadWatcher`. */
export interface HeadWatcherOptions {
  readonly environment: string;
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly relay: configurationRelay.ConfigurationRelay;
  /** Aborts a watch in progress. */
  readonly signal: AbortSignal;
}

/**
 * Passes heads from the platform to a relay, and confirms its configuration.
 */
export class HeadWatcher {
  private headVersion: number | undefined;
  private headReadAt = -Infinity;

  constructor(private readonly options: HeadWatcherOptions) {}

  /** Reads or watches once; returns whether the answer was usable. */
  poll(): Promise<boolean> {
    const age = this.options.clock.now() - this.headReadAt;
    return this.headVersion === undefined || age >= HEAD_READ_INTERVAL_MS
      ? this.read()
      : this.watch(this.headVersion);
  }

  /**
   * Reads the head and returns whether the answer was usable. A stale answer
   * changes nothing and confirms nothing.
   */
  async read(): Promise<boolean> {
    const {store, environment, clock, relay} = this.options;
    const read = await configurationHead.readHead(store, environment);
    const stored = read.orDefault(undefined);
    if (read.isLeft()) {
      return false;
    }
    this.headReadAt = clock.now();
    // Keeps the higher version: to watch from a stale one is harmless, but
    // would return events again.
    this.headVersion = Math.max(this.headVersion ?? 0, stored?.version ?? 0);
    return stored === undefined || relay.adoptHead(stored.head);
  }

  private async watch(afterVersion: number): Promise<boolean> {
    const {store, environment, clock, relay, signal} = this.options;
    const startedAt = clock.now();
    const result = await store.watch(
      configurationHead.HEAD_KIND,
      afterVersion,
      // A change ends all watches at once; with jitter the next ones spread out
      // again.
      WATCH_TIMEOUT_MS * (0.9 + 0.2 * this.options.random()),
      signal,
    );
    if (result.isLeft() || signal.aborted) {
      return false;
    }
    const {events} = result.orDefault({events: [], version: afterVersion});
    const newest = events
      .filter(({type, object}) => type === 'put' && object.name === environment)
      .at(-1);
    if (newest) {
      const {head} = configurationHead.parseHead(newest.object);
      if (!(await relay.adoptHead(head))) {
        return false;
      }
    }
    const versions = events.map(event => event.object.version);
    this.headVersion = Math.max(afterVersion, ...versions);
    // As of the start of the call, since the answer may have been delayed.
    relay.freshness.confirm(startedAt);
    return true;
  }
}
