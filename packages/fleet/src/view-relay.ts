/**
 * Brings views from peer to peer, with their age: an instance that is cut off
 * from the store, or leaves the watching to others, goes on with what its
 * peers know.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as kindView from './kind-view.js';

/** Parts that the relay works with. */
export interface ViewRelayOptions {
  readonly clock: ports.Clock;
  readonly transport: protocol.PeerTransport;
  readonly views: readonly kindView.KindView[];
  /** Called after a view was confirmed or replaced. */
  readonly onUpdate: (view: kindView.KindView) => void;
  /** Age, in ms, from which a view of a kind is fetched from any peer. */
  readonly staleAfterMs: (kind: string) => number;
}

/** Longest wait for a peer, in milliseconds; views may be some 100 KB. */
const FETCH_TIMEOUT_MS = 1_000;

/** Longest time for which a peer's call is held, in milliseconds. */
const MAX_HOLD_MS = 2_000;

/** Reason for which a wait ends; without one, an error is made for each. */
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

/** Relays views. */
export class ViewRelay {
  private readonly fetching = new Set<string>();
  /** Called at the next change of any view. */
  private waiters: (() => void)[] = [];

  constructor(private readonly options: ViewRelayOptions) {}

  /** What this instance tells of its views. */
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
   * Takes in what a peer answered.
   *
   * @param askedAtMs when the peer was asked. Its ages count from then: the
   *     answer may have been held up on its way, but not made earlier. What
   *     peers send unasked confirms nothing for that reason.
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

  /** A fresh view is brought up to date by its watcher, in small steps. */
  private mustFetch(view: kindView.KindView, version: number): boolean {
    const {clock, staleAfterMs} = this.options;
    const isOld = clock.now() - view.confirmedAtMs > staleAfterMs(view.kind);
    return isOld && version > (view.version ?? -1);
  }

  /** All objects of a view, for a peer that asks. */
  handleFetch(kind: string): protocol.Result<'fetch_view'> {
    const view = this.options.views.find(found => found.kind === kind);
    if (view?.version === undefined) {
      return {};
    }
    const objects = [...view.objects.values()].map(toMessage);
    const ageMs = Math.max(0, this.options.clock.now() - view.confirmedAtMs);
    return {view: {version: view.version, ageMs, objects}};
  }

  /** Wakes peers that wait for a change. */
  wakeWaiters(): void {
    const {waiters} = this;
    this.waiters = [];
    waiters.forEach(wake => {
      wake();
    });
  }

  /** Waits until a view differs from what a peer knows; brings what is new. */
  async awaitViews({
    known,
    waitMs,
  }: protocol.Params<'await_views'>): Promise<protocol.Result<'await_views'>> {
    const {clock} = this.options;
    const startedAtMs = clock.now();
    const endMs = startedAtMs + Math.min(waitMs, MAX_HOLD_MS);
    while (!this.hasNews(known) && clock.now() < endMs) {
      await this.waitForUpdate(endMs - clock.now());
    }
    const views = this.states().map(state => ({
      ...state,
      ...this.findDelta(state, known),
    }));
    return {
      heldMs: clock.now() - startedAtMs,
      views,
    };
  }

  private hasNews(known: readonly KnownView[]): boolean {
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
    const ending = new AbortController();
    const woken = new Promise<void>(resolve => {
      this.waiters.push(resolve);
    });
    const slept = this.options.clock.sleep(waitMs, ending.signal);
    await Promise.race([woken, slept]);
    ending.abort(WOKEN);
  }

  private async fetch(address: string, view: kindView.KindView): Promise<void> {
    const {clock, transport, onUpdate} = this.options;
    if (this.fetching.has(view.kind)) {
      return;
    }
    this.fetching.add(view.kind);
    const askedAtMs = clock.now();
    const answer = await protocol.callPeer(
      transport,
      address,
      'fetch_view',
      {kind: view.kind},
      FETCH_TIMEOUT_MS,
    );
    this.fetching.delete(view.kind);
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
