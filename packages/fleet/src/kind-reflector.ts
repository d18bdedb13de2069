/** Keeps a view of one kind up to date by listing and watching the store. */
import type * as ports from '@amaranthknot/ports';
import type * as kindView from './kind-view.js';

/** Parts that a follower works with. */
export interface KindReflectorOptions {
  readonly view: kindView.KindView;
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /**
   * Longest wait of one watch, in ms, for a view of that age. An answer
   * without changes
   * confirms the view as of then, any other as of the call's start.
   */
  readonly findWatchTimeoutMs: (ageMs: number) => number;
  /**
   * Pause after an answer with changes, in milliseconds. Changes come in
   * series, as when upstreams are replaced one after the other, and each would
   * end a watch.
   */
  readonly pauseAfterChangesMs: number;
  /** What this instance does about the kind now. */
  readonly getSyncMode: () => SyncMode;
  /** Called after each change and each confirmation. */
  readonly onUpdate: (view: kindView.KindView) => void;
  /** Called before a call that is made since what is known is too old. */
  readonly onRelist: (view: kindView.KindView) => void;
  /** Called with the outcome of each call. */
  readonly onCall: (kind: string, error: ports.StoreError | undefined) => void;
}

/** Whether to keep a watch open, to ask once, or to leave it to others. */
export type SyncMode = 'watch' | 'ask' | 'none';

/**
 * First and longest pause after a failed call, in milliseconds. The store
 * counts refused calls too, and all instances fail at the same moment; the
 * many that only ask wait longer than the few that watch for all.
 */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = {watch: 400, ask: 2_000} as const;

/** How often an instance that leaves the kind to others looks again, in ms. */
const IDLE_INTERVAL_MS = 200;

/** What came of one call to the store. */
interface CallOutcome {
  readonly error: ports.StoreError | undefined;
  /** Changes that a watch brought. */
  readonly changes: number;
}

const NO_CHANGES: CallOutcome = {error: undefined, changes: 0};

/** Follows one kind until it is told to stop. */
export class KindReflector {
  private failures = 0;
  /** Whether the store has forgotten the changes since the view. */
  private isHistoryGone = false;

  constructor(private readonly options: KindReflectorOptions) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const mode = this.options.getSyncMode();
      if (mode === 'none') {
        await this.options.clock.sleep(IDLE_INTERVAL_MS, signal);
      } else {
        await this.callStore(mode, signal);
      }
    }
  }

  /** One call to the store, and the pause after a failed one. */
  private async callStore(
    mode: 'watch' | 'ask',
    signal: AbortSignal,
  ): Promise<void> {
    const isUnknown = this.options.view.version === undefined;
    const mustList = this.isHistoryGone || isUnknown || mode === 'ask';
    if (mode === 'ask' && !isUnknown) {
      this.options.onRelist(this.options.view);
    }
    const {error, changes} = mustList ? await this.list() : await this.watch();
    this.options.onCall(this.options.view.kind, error);
    if (!error) {
      this.failures = 0;
      this.options.onUpdate(this.options.view);
      if (changes > 0) {
        await this.options.clock.sleep(
          this.options.pauseAfterChangesMs,
          signal,
        );
      }
      return;
    }
    this.failures++;
    // Changes that the store has forgotten can only be found by listing.
    this.isHistoryGone ||= error.code === 'history_gone';
    if (error.code !== 'history_gone') {
      await this.options.clock.sleep(this.backoffMs(mode), signal);
    }
  }

  private async list(): Promise<CallOutcome> {
    const {store, view, clock} = this.options;
    const startedAt = clock.now();
    const listed = await store.list(view.kind);
    return listed.caseOf<CallOutcome>({
      Left: error => ({error, changes: 0}),
      Right: listing => {
        view.replaceAll(listing, startedAt);
        this.isHistoryGone = false;
        return NO_CHANGES;
      },
    });
  }

  private async watch(): Promise<CallOutcome> {
    const {store, view, clock, findWatchTimeoutMs} = this.options;
    const startedAt = clock.now();
    const waitMs = findWatchTimeoutMs(startedAt - view.confirmedAtMs);
    const changes = await store.watch(view.kind, view.version ?? 0, waitMs);
    return changes.caseOf<CallOutcome>({
      Left: error => ({error, changes: 0}),
      Right: found => {
        // The store held a call without changes for as long as it was asked.
        const {length} = found.events;
        const wasHeld = length === 0 && clock.now() - startedAt >= waitMs;
        view.applyChanges(found, wasHeld ? startedAt + waitMs : startedAt);
        return {error: undefined, changes: length};
      },
    });
  }

  private backoffMs(mode: 'watch' | 'ask'): number {
    const grown = MIN_BACKOFF_MS * 2 ** Math.min(this.failures, 10);
    const bounded = Math.min(MAX_BACKOFF_MS[mode], grown);
    return bounded * (0.5 + this.options.random() / 2);
  }
}
