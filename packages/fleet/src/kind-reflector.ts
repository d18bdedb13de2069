/** Lists and watches the store to keep the view of one kind up to date. */
import type * as ports from '@amaranthknot/ports';
import type * as kindView from './kind-view.js';
import type * as storeBackoff from './store-backoff.js';

/** Dependencies and settings of a `KindReflector`. */
export interface KindReflectorOptions {
  readonly view: kindView.KindView;
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Shared by the reflectors of an instance. */
  readonly backoff: storeBackoff.StoreBackoff;
  /**
   * Longest wait of one watch, in milliseconds, for a view of the given age. An
   * answer without changes confirms the view as of the end of that wait, any
   * other answer as of the start of the call.
   */
  readonly findWatchTimeoutMs: (ageMs: number) => number;
  /**
   * Pause after an answer with changes, in milliseconds. Changes come in
   * series, as when upstreams are replaced one after the other, and without a
   * pause each change would end a watch.
   */
  readonly pauseAfterChangesMs: number;
  /** How this instance syncs the kind at present. */
  readonly getSyncMode: () => SyncMode;
  /** Called after each change and each confirmation. */
  readonly onUpdate: (view: kindView.KindView) => void;
  /**
   * Called before a known view is listed in mode `ask`, which is for views that
   * are too old.
   */
  readonly onRelist: (view: kindView.KindView) => void;
  /** Called after each call to the store; `error` is undefined on success. */
  readonly onCall: (kind: string, error: ports.StoreError | undefined) => void;
}

/**
 * How an instance syncs a kind: with a watch that is kept open (`watch`), with
 * single lists (`ask`), or not at all, since watchers send it the changes
 * (`none`).
 */
export type SyncMode = 'watch' | 'ask' | 'none';

/**
 * Maximum backoff after failed calls, in milliseconds. In an outage all
 * instances fail at the same moment; the many in mode `ask` therefore back off
 * for longer than the few that watch for all.
 */
const MAX_BACKOFF_MS = {watch: 400, ask: 2_000} as const;

/**
 * Interval at which an instance whose calls fail checks whether it may make the
 * next one, in milliseconds.
 */
const TURN_INTERVAL_MS = 25;

/**
 * Interval at which an instance in mode `none` checks its mode again, in ms.
 */
const IDLE_INTERVAL_MS = 200;

/** Outcome of one call to the store. */
interface CallOutcome {
  readonly error: ports.StoreError | undefined;
  /** Number of changes that a watch returned. */
  readonly changes: number;
}

const NO_CHANGES: CallOutcome = {error: undefined, changes: 0};

/** Keeps the view of one kind in sync until it is aborted. */
export class KindReflector {
  /** Whether the store has dropped changes that are newer than the view. */
  private isHistoryGone = false;

  constructor(private readonly options: KindReflectorOptions) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const {getSyncMode, clock, backoff} = this.options;
      const mode = getSyncMode();
      if (mode === 'none') {
        await clock.sleep(IDLE_INTERVAL_MS, signal);
      } else if (!backoff.mayCall(clock.now())) {
        await clock.sleep(TURN_INTERVAL_MS, signal);
      } else {
        await this.callStore(mode, signal);
      }
    }
  }

  /** Makes one call to the store. */
  private async callStore(
    mode: 'watch' | 'ask',
    signal: AbortSignal,
  ): Promise<void> {
    const {view, clock, backoff, onRelist, onCall, onUpdate} = this.options;
    const isUnknown = view.version === undefined;
    const mustList = this.isHistoryGone || isUnknown || mode === 'ask';
    if (mode === 'ask' && !isUnknown) {
      onRelist(view);
    }
    const startedAtMs = clock.now();
    const mayHold = !backoff.isFailing;
    backoff.recordStart(startedAtMs);
    const {error, changes} = mustList
      ? await this.list()
      : await this.watch(mayHold);
    onCall(view.kind, error);
    if (!error || error.code === 'history_gone') {
      backoff.recordAnswer();
    } else {
      backoff.recordFailure(startedAtMs, clock.now(), MAX_BACKOFF_MS[mode]);
      return;
    }
    // Only a list finds changes that are no longer in the store's history.
    this.isHistoryGone ||= error !== undefined;
    if (!error) {
      onUpdate(view);
    }
    if (changes > 0) {
      await clock.sleep(this.options.pauseAfterChangesMs, signal);
    }
  }

  private async list(): Promise<CallOutcome> {
    const {store, view, clock} = this.options;
    const startedAtMs = clock.now();
    const listed = await store.list(view.kind);
    return listed.caseOf<CallOutcome>({
      Left: error => ({error, changes: 0}),
      Right: listing => {
        view.replaceAll(listing, startedAtMs);
        this.isHistoryGone = false;
        return NO_CHANGES;
      },
    });
  }

  /**
   * @param mayHold false while calls fail: an answer at once shows the other
   *     reflectors that the store answers again.
   */
  private async watch(mayHold: boolean): Promise<CallOutcome> {
    const {store, view, clock, findWatchTimeoutMs} = this.options;
    const startedAtMs = clock.now();
    const steadyStartMs = clock.steadyNow();
    const waitMs = mayHold
      ? findWatchTimeoutMs(startedAtMs - view.confirmedAtMs)
      : 0;
    const changes = await store.watch(view.kind, view.version ?? 0, waitMs);
    return changes.caseOf<CallOutcome>({
      Left: error => ({error, changes: 0}),
      Right: found => {
        // The store answers without changes only after the whole wait.
        const {length} = found.events;
        const heldMs = clock.steadyNow() - steadyStartMs;
        const wasHeld = length === 0 && heldMs >= waitMs;
        view.applyChanges(found, wasHeld ? startedAtMs + waitMs : startedAtMs);
        return {error: undefined, changes: length};
      },
    });
  }
}
