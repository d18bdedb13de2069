/**
 * Passes views from peer to peer, with their age. An instance that is cut off
 * from the store, or does not watch it itself, thereby keeps working with what
 * its peers know.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as kindView from './kind-view.js';

/** Dependencies and settings of a `ViewRelay`. */
export interface ViewRelayOptions {
  readonly clock: ports.Clock;
  readonly transport: protocol.PeerTransport;
  readonly views: readonly kindView.KindView[];
  /** Called after a view was confirmed or replaced. */
  readonly onUpdate: (view: kindView.KindView) => void;
  /** Age, in ms, above which a view of the kind is fetched from any peer. */
  readonly staleAfterMs: (kind: string) => number;
}

/** Longest wait for a peer, in milliseconds; a view may be some 100 KB. */
const FETCH_TIMEOUT_MS = 1_000;

/** Longest time for which a peer's call is held, in milliseconds. */
const MAX_HOLD_MS = 2_000;

/**
 * Abort reason of a wait that ends early; without a reason, the abort would
 * create an error each time.
 */
const WOKEN = 'woken';

type KnownView = protocol.Params<'await_views'>['known'][number];

const toMessage = ({
  name,
  version,
  value,
  status,
}: ports.StoredObject): protocol.ViewDelta['objects'][number] => ({
  name,
  version,
  value,
  ...(status === undefined ? {} : {status}),
});

/**
 * Answers peers that ask for views, and takes over views that peers have newer.
 */
export class ViewRelay {
  private readonly fetching = new Set<string>();
  /** Callbacks for the next change of any view. */
  private waiters: (() => void)[] = [];
  /** Number of times that held calls were answered early. */
  private releases = 0;

  constructor(private readonly options: ViewRelayOptions) {}

  /**
   * States of this instance's views, without the views that it does not have
   * yet.
   */
  states(): readonly protocol.ViewState[] {
    const now = this.options.clock.now();
    return this.options.views.flatMap(view =>
      view.version === undefined
        ? []
        : [
            {
              kind: view.kind,
              version: view.version,
              digest: view.digest,
              ageMs: Math.max(0, now - view.confirmedAtMs),
              answeredForMs: Math.max(
                0,
                view.confirmedAtMs - view.answeredFromMs,
              ),
            },
          ],
    );
  }

  /**
   * Merges the view states that a peer answered.
   *
   * @param askedAtMs when the peer was asked. The ages in the answer count from
   *     then: the answer may have been delayed on its way, but was not made
   *     earlier. For that reason, states that a peer sends in a call of its own
   *     confirm nothing.
   */
  mergeStates(
    address: string,
    states: readonly protocol.ViewState[],
    askedAtMs: number,
  ): void {
    for (const state of states) {
      const view = this.options.views.find(({kind}) => kind === state.kind);
      if (!view) {
        continue;
      }
      const asOfMs = askedAtMs - state.ageMs;
      view.recordAnswered({fromMs: asOfMs - state.answeredForMs, toMs: asOfMs});
      if (asOfMs <= view.confirmedAtMs) {
        continue;
      }
      if (view.confirmIfSame(state.digest, state.version, asOfMs)) {
        this.options.onUpdate(view);
      } else if (this.mustFetch(view, state.version)) {
        void this.fetch(address, view);
      }
    }
  }

  /**
   * Whether to fetch the whole view: a view that is not stale gets its changes
   * as deltas from the watcher instead.
   */
  private mustFetch(view: kindView.KindView, version: number): boolean {
    const {clock, staleAfterMs} = this.options;
    const isOld = clock.now() - view.confirmedAtMs > staleAfterMs(view.kind);
    return isOld && version > (view.version ?? -1);
  }

  /** Answers `fetch_view` with all objects of a view. */
  handleFetch(kind: string): protocol.Result<'fetch_view'> {
    const view = this.options.views.find(found => found.kind === kind);
    if (view?.version === undefined) {
      return {};
    }
    const objects = [...view.objects.values()].map(toMessage);
    const ageMs = Math.max(0, this.options.clock.now() - view.confirmedAtMs);
    return {view: {version: view.version, ageMs, objects}};
  }

  /** Resumes the held calls of peers that wait for a change. */
  wakeWaiters(): void {
    const {waiters} = this;
    this.waiters = [];
    waiters.forEach(wake => {
      wake();
    });
  }

  /** Answers the held calls of peers now, as there is other news for them. */
  releaseWaiters(): void {
    this.releases++;
    this.wakeWaiters();
  }

  /**
   * Answers `await_views`: waits until a view is newer than the peer's, or
   * until the wait is over, and returns the differences.
   */
  async awaitViews({
    known,
    waitMs,
  }: protocol.Params<'await_views'>): Promise<protocol.Result<'await_views'>> {
    const {clock} = this.options;
    const {releases} = this;
    const startedAtMs = clock.steadyNow();
    const endMs = startedAtMs + Math.min(waitMs, MAX_HOLD_MS);
    const mayHold = () =>
      this.releases === releases && clock.steadyNow() < endMs;
    while (!this.hasUpdates(known) && mayHold()) {
      await this.waitForUpdate(endMs - clock.steadyNow());
    }
    const views = this.states().map(state => ({
      ...state,
      ...this.findDelta(state, known),
    }));
    return {
      // The caller adds this to the time at which it asked: a hold that is told
      // too long would make the views look younger than they are.
      heldMs: clock.steadyNow() - startedAtMs,
      views,
    };
  }

  private hasUpdates(known: readonly KnownView[]): boolean {
    return this.options.views.some(view => {
      const theirs = known.find(({kind}) => kind === view.kind);
      const isBehind = (theirs?.version ?? -1) < (view.version ?? -1);
      return isBehind && theirs?.digest !== view.digest;
    });
  }

  private findDelta(
    {kind, version, digest}: protocol.ViewState,
    known: readonly KnownView[],
  ): {readonly step?: protocol.ViewDelta} {
    const view = this.options.views.find(found => found.kind === kind);
    const theirs = known.find(found => found.kind === kind);
    const isSame = theirs?.digest === digest;
    if (!view || isSame || (theirs && theirs.version >= version)) {
      return {};
    }
    const {names, objects} = view.deltaSince(theirs?.version ?? -1);
    return {step: {names: [...names], objects: objects.map(toMessage)}};
  }

  private async waitForUpdate(waitMs: number): Promise<void> {
    const waiting = new AbortController();
    const updated = new Promise<void>(resolve => {
      this.waiters.push(resolve);
    });
    const timedOut = this.options.clock.sleep(waitMs, waiting.signal);
    await Promise.race([updated, timedOut]);
    waiting.abort(WOKEN);
  }

  private async fetch(address: string, view: kindView.KindView): Promise<void> {
    const {clock, transport, onUpdate} = this.options;
    if (this.fetching.has(view.kind)) {
      return;
    }
    this.fetching.add(view.kind);
    const askedAtMs = clock.now();
    const answer = await protocol
      .callPeer(
        transport,
        address,
        'fetch_view',
        {kind: view.kind},
        FETCH_TIMEOUT_MS,
      )
      .finally(() => this.fetching.delete(view.kind));
    answer.ifRight(({view: found}) => {
      if (!found) {
        return;
      }
      const objects = found.objects.map(object => ({
        kind: view.kind,
        ...object,
      }));
      const listing = {objects, version: found.version};
      if (view.replaceAll(listing, askedAtMs - found.ageMs)) {
        onUpdate(view);
      }
    });
  }
}
