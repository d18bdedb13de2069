/** Brings a view up to date at once, for requests that need it fresh. */
import type * as ports from '@amaranthknot/ports';
import type * as kindView from './kind-view.js';

/** Parts that a refresh works with. */
export interface ViewRefresherOptions {
  readonly view: kindView.KindView;
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly onUpdate: (view: kindView.KindView) => void;
}

/**
 * Longest time that a request is held for a refresh, in milliseconds. The
 * store answers in some ten; one that does not is away.
 */
const MAX_HOLD_MS = 250;

/**
 * Least time between two refreshes, in milliseconds: cut off, an instance
 * would hold every request and ask for each.
 */
const MIN_INTERVAL_MS = 1_000;

/**
 * Refreshes one view, one call at a time.
 *
 * Guards against refusals after a machine wakes up or its clock is set: what
 * the instance knows then looks old until the next watch ends, a second on,
 * while the store would confirm it in milliseconds.
 */
export class ViewRefresher {
  private running: Promise<void> | undefined;
  private lastStartedAtMs = -Infinity;

  constructor(private readonly options: ViewRefresherOptions) {}

  /** Resolves when the view was refreshed, or can't be for now. */
  refresh(): Promise<void> {
    const {clock} = this.options;
    if (this.running) {
      return this.running;
    }
    if (clock.now() - this.lastStartedAtMs < MIN_INTERVAL_MS) {
      return Promise.resolve();
    }
    this.lastStartedAtMs = clock.now();
    const held = Promise.race([this.list(), clock.sleep(MAX_HOLD_MS)]);
    this.running = held.then(() => {
      this.running = undefined;
    });
    return this.running;
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
