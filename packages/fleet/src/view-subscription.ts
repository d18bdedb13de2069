/**
 * Keeps views up to date by long polling an instance that watches the store.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as kindView from './kind-view.js';

/** A hold that a source states, longer than the call took. Times are in ms. */
export interface LongHold {
  readonly address: string;
  readonly heldMs: number;
  /** From asking to the answer, as measured here; the hold counts as this. */
  readonly elapsedMs: number;
}

/** Dependencies and settings of a `ViewSubscription`. */
export interface ViewSubscriptionOptions {
  readonly clock: ports.Clock;
  readonly transport: protocol.PeerTransport;
  readonly views: readonly kindView.KindView[];
  /**
   * Instances to ask, best first; empty while this instance needs no source.
   */
  readonly findSources: () => readonly protocol.Member[];
  /**
   * Age, in ms, above which a source's view of the kind is too old to be of
   * use.
   */
  readonly staleAfterMs: (kind: string) => number;
  /** Called after a view was confirmed or replaced. */
  readonly onUpdate: (view: kindView.KindView) => void;
  /** Whether this instance is a watcher, which passes on what it receives. */
  readonly isWatcher: () => boolean;
  /** Creates this instance's report to the source. */
  readonly createReport: (source: protocol.Member) => protocol.FollowerReport;
  /** Called with each summary of the fleet that a source sends. */
  readonly onSummary: (
    source: protocol.Member,
    summary: protocol.FleetSummary,
  ) => void;
  /**
   * Called when this instance starts, with what a peer knows of parts of prompts
   * that end upstreams.
   */
  readonly onSuspectParts: (
    parts: readonly protocol.SuspectPartReport[],
  ) => void;
  /** Called when this instance starts, with the upstreams that were away. */
  readonly onAbsences: (absences: readonly protocol.UpstreamAbsence[]) => void;
  /** Called when a source says that it held a call for longer than possible. */
  readonly onLongHold: (hold: LongHold) => void;
  /** Called when a source gave no usable answer. */
  readonly onFailure: (address: string, error: protocol.PeerError) => void;
  /** Called when the source changes; undefined when there is none any more. */
  readonly onSourceChange: (id: string | undefined) => void;
}

/**
 * How long a source holds a call while nothing changes, in milliseconds. Each
 * answer also shows how fresh the source's views are, so the hold is much
 * shorter than the time that a change may take to reach all. Watchers ask more
 * often, since their views grow older on the way to their followers.
 */
const MAX_HOLD_MS = {follower: 400, watcher: 150} as const;

/**
 * How much longer than the hold to wait for an answer, in milliseconds: enough
 * for a pause of the source's process and for a lost packet that is sent again.
 */
const ANSWER_MARGIN_MS = 500;

/**
 * Longest wait for a peer's views at the start, in milliseconds. Callers wait
 * meanwhile, and the store would answer within some ten milliseconds.
 */
const FIRST_ANSWER_TIMEOUT_MS = 120;

/** Pause while there is no source, in milliseconds. */
const IDLE_MS = 100;

/**
 * How long a source that gave no usable answer is avoided, in milliseconds:
 * about as long as the other instances take to learn that it is gone.
 */
const AVOIDANCE_MS = 3_000;

/**
 * By how much a stated hold may exceed the time of the call before it is
 * reported, in milliseconds: the clocks of two machines differ a little in rate.
 */
const HOLD_TOLERANCE_MS = 5;

type Answer = protocol.Result<'await_views'>;

/** When a source was asked, by both readings of the clock of this instance. */
interface AskingTime {
  readonly atMs: number;
  readonly steadyMs: number;
}

/** Polls one source at a time and applies its changes to the views. */
export class ViewSubscription {
  private readonly avoidedUntilMs = new Map<string, number>();
  private sourceId: string | undefined;
  /**
   * Kinds for which a delta did not lead to its digest; the next poll asks for
   * them whole.
   */
  private readonly wanted = new Set<string>();

  constructor(private readonly options: ViewSubscriptionOptions) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const source = this.chooseSource();
      this.changeSource(source?.id);
      if (!source) {
        await this.options.clock.sleep(IDLE_MS, signal);
        continue;
      }
      await this.poll(source, signal);
    }
  }

  /**
   * Asks one peer for all its views, once. Views that it does not have, or that
   * do not come in time, are left to the store.
   *
   * Prevents each start from listing everything at the store although all peers
   * know it: when a fleet of hundreds is restarted one by one, that would be
   * most of the calls to the store.
   */
  async fetchInitial(address: string): Promise<void> {
    const {transport} = this.options;
    const asked = this.readClock();
    const answer = await protocol.callPeer(
      transport,
      address,
      'await_views',
      {known: [], waitMs: 0},
      FIRST_ANSWER_TIMEOUT_MS,
    );
    answer.ifRight(({heldMs, views, suspectParts = [], absences = []}) => {
      this.applyViews(views, this.findReadTime(address, heldMs, asked));
      this.options.onAbsences(absences);
      this.options.onSuspectParts(suspectParts);
    });
  }

  /**
   * The best source that is not avoided. If all are avoided, as when all have
   * lost the store, it is the best of all: it still knows the fleet.
   */
  private chooseSource(): protocol.Member | undefined {
    const now = this.options.clock.now();
    const sources = this.options.findSources();
    const isAvoided = ({id}: protocol.Member) =>
      (this.avoidedUntilMs.get(id) ?? -Infinity) > now;
    return sources.find(source => !isAvoided(source)) ?? sources[0];
  }

  private changeSource(id: string | undefined): void {
    if (id !== this.sourceId) {
      this.sourceId = id;
      this.options.onSourceChange(id);
    }
  }

  private async poll(
    source: protocol.Member,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, transport, views} = this.options;
    const asked = this.readClock();
    const known = views.flatMap(({kind, version, digest}) =>
      version === undefined || this.wanted.has(kind)
        ? []
        : [{kind, version, digest}],
    );
    const waitMs =
      MAX_HOLD_MS[this.options.isWatcher() ? 'watcher' : 'follower'];
    const answer = await protocol.callPeer(
      transport,
      source.peers,
      'await_views',
      {known, waitMs, report: this.options.createReport(source)},
      waitMs + ANSWER_MARGIN_MS,
    );
    if (answer.isLeft()) {
      this.options.onFailure(source.peers, answer.extract());
      this.avoid(source);
      await clock.sleep(IDLE_MS, signal);
      return;
    }
    this.applyAnswer(source, answer.unsafeCoerce(), asked);
    if (this.wanted.size > 0) {
      // A call that asks for a whole view is answered at once. A source that is
      // behind would give the same answer again, without a pause.
      await clock.sleep(IDLE_MS, signal);
    }
  }

  private applyAnswer(
    source: protocol.Member,
    {heldMs, views, summary}: Answer,
    asked: AskingTime,
  ): void {
    const {staleAfterMs, onSummary} = this.options;
    if (summary) {
      onSummary(source, summary);
    }
    this.applyViews(views, this.findReadTime(source.peers, heldMs, asked));
    if (views.some(({kind, ageMs}) => ageMs > staleAfterMs(kind))) {
      // The source has lost the store itself; another one may not have.
      this.avoid(source);
    }
  }

  private readClock(): AskingTime {
    const {clock} = this.options;
    return {atMs: clock.now(), steadyMs: clock.steadyNow()};
  }

  /**
   * Time from which the ages in an answer count, in ms: when the source read its
   * views. That was no earlier than the time of the call plus the time for which
   * the source held it.
   *
   * The source can't have held the call for longer than the call took here.
   * Guards against a source whose clock jumps while it holds the call: its views
   * would look confirmed in the future, and an instance that is then cut off
   * would act on them for longer than it may.
   */
  private findReadTime(
    address: string,
    heldMs: number,
    asked: AskingTime,
  ): number {
    const elapsedMs = this.options.clock.steadyNow() - asked.steadyMs;
    if (heldMs > elapsedMs + HOLD_TOLERANCE_MS) {
      this.options.onLongHold({address, heldMs, elapsedMs});
    }
    return asked.atMs + Math.min(heldMs, elapsedMs);
  }

  private applyViews(views: Answer['views'], readAtMs: number): void {
    for (const state of views) {
      this.applyView(state, readAtMs - state.ageMs);
    }
  }

  private applyView(state: Answer['views'][number], asOfMs: number): void {
    const {views, onUpdate} = this.options;
    const {kind, version, digest, step, answeredForMs} = state;
    const view = views.find(found => found.kind === kind);
    if (!view) {
      return;
    }
    view.recordAnswered({fromMs: asOfMs - answeredForMs, toMs: asOfMs});
    const isApplied = step
      ? view.applyDelta(
          {
            names: step.names,
            objects: step.objects.map(object => ({kind, ...object})),
          },
          {version, digest},
          asOfMs,
        )
      : view.confirmIfSame(digest, version, asOfMs);
    if (isApplied) {
      this.wanted.delete(kind);
      onUpdate(view);
    } else if (step) {
      this.wanted.add(kind);
    }
  }

  private avoid({id}: protocol.Member): void {
    this.avoidedUntilMs.set(id, this.options.clock.now() + AVOIDANCE_MS);
  }
}
