/** Refreshes a view at once, for requests that need a fresh one. */
import * as ports from '@amaranthknot/ports';
import type * as kindView from './kind-view.js';

/** Dependencies of a `ViewRefresher`. */
export interface ViewRefresherOptions {
  readonly view: kindView.KindView;
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly onUpdate: (view: kindView.KindView) => void;
}

/**
 * Longest time that a request is held for a refresh, in milliseconds. The store
 * answers within some ten milliseconds; if it takes longer, it counts as
 * unavailable.
 */
const MAX_HOLD_MS = 250;

/**
 * Minimum time between two refreshes, in milliseconds. Without it, an instance
 * that is cut off from the store would hold every request and call the store
 * for each.
 */
const MIN_INTERVAL_MS = 1_000;

/**
 * Refreshes one view, with one call at a time.
 *
 * Prevents requests from being refused after a machine wakes up or its clock is
 * set: the view then looks too old until the next watch ends, about a second
 * later, while the store would confirm it in milliseconds.
 */
export class ViewRefresher {
  private running: Promise<void> | undefined;
  private lastStartedAtMs = -Infinity;

  constructor(private readonly options: ViewRefresherOptions) {}

  /**
   * Resolves when the view was refreshed, when `MAX_HOLD_MS` has passed, or at
   * once if the last refresh was too recent.
   */
  refresh(): Promise<void> {
    const {clock} = this.options;
    if (this.running) {
      return this.running;
    }
    if (clock.now() - this.lastStartedAtMs < MIN_INTERVAL_MS) {
      return Promise.resolve();
    }
    this.lastStartedAtMs = clock.now();
    const held = Promise.race([this.list(), this.giveUp()]);
    this.running = held.finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  /**
   * Resolves once the store did not answer in time. What came in time is read
   * first: an answer in one turn of the event loop, its end in the next.
   */
  private async giveUp(): Promise<void> {
    await this.options.clock.sleep(MAX_HOLD_MS);
    await ports.whenTurnRead();
    await ports.whenTurnRead();
  }

  private async list(): Promise<void> {
    const {view, store, clock, onUpdate} = this.options;
    const askedAtMs = clock.now();
    const listed = await store.list(view.kind);
    listed.ifRight(listing => {
      if (view.replaceAll(listing, askedAtMs)) {
        onUpdate(view);
      }
    });
  }
}
