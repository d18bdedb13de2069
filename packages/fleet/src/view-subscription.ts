/** Keeps views up to date by waiting calls at an instance that watches. */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as kindView from './kind-view.js';

/** Parts that a subscription works with. */
export interface ViewSubscriptionOptions {
  readonly clock: ports.Clock;
  readonly transport: protocol.PeerTransport;
  readonly views: readonly kindView.KindView[];
  /** Instances to ask, best first; none while this instance needs none. */
  readonly findSources: () => readonly protocol.Member[];
  /** Longest age, in ms, of what a source that is of use knows. */
  readonly staleAfterMs: (kind: string) => number;
  /** Called after a view was confirmed or replaced. */
  readonly onUpdate: (view: kindView.KindView) => void;
  /** Whether this instance tells others what it is told. */
  readonly isWatcher: () => boolean;
  /** What this instance tells the source of itself. */
  readonly createReport: (source: protocol.Member) => protocol.FollowerReport;
  /** Called with what a source told of the fleet. */
  readonly onSummary: (
    source: protocol.Member,
    summary: protocol.FleetSummary,
  ) => void;
  /** Called when a source gave no answer that is of use. */
  readonly onFailure: (address: string, error: protocol.PeerError) => void;
  /** Called when another source is asked, or none any more. */
  readonly onSourceChange: (id: string | undefined) => void;
}

/**
 * How long a source holds a call without news, in milliseconds. Each answer
 * tells how fresh the source is; much less than a change may take. One that
 * tells others itself asks more often: what it knows grows older on the way.
 */
const MAX_HOLD_MS = {follower: 400, watcher: 150} as const;

/**
 * Longest wait for an answer beyond that, in milliseconds: a pause of the
 * source's program, and a lost packet that is sent again.
 */
const ANSWER_MARGIN_MS = 500;

/**
 * Longest wait for a peer's views at the start, in milliseconds. The store
 * would answer in some ten; callers wait meanwhile.
 */
const FIRST_ANSWER_TIMEOUT_MS = 120;

/** Pause while there is no source, in milliseconds. */
const IDLE_MS = 100;

/**
 * How long a source that was of no use is passed over, in milliseconds: about
 * as long as it takes others to hear that it is gone.
 */
const AVOIDANCE_MS = 3_000;

type Answer = protocol.Result<'await_views'>;

/** One instance's subscription. */
export class ViewSubscription {
  private readonly avoidedUntilMs = new Map<string, number>();
  private sourceId: string | undefined;
  /** Kinds of which a step led elsewhere: they are asked for whole. */
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
   * Asks one peer for all its views, once; those that it does not have, or
   * that do not come in time, are left to the store.
   *
   * Guards against a store that is asked for everything at each start, while
   * all peers know it: where a fleet of hundreds is restarted in turn, that is
   * most of its calls.
   */
  async fetchInitial(address: string): Promise<void> {
    const {clock, transport} = this.options;
    const askedAtMs = clock.now();
    const answer = await protocol.callPeer(
      transport,
      address,
      'await_views',
      {known: [], waitMs: 0},
      FIRST_ANSWER_TIMEOUT_MS,
    );
    answer.ifRight(({heldMs, views}) => {
      this.applyViews(views, askedAtMs + heldMs);
    });
  }

  /**
   * The best source that is not passed over. Where all are, as in an outage of
   * the store for all, the best one: it still knows the fleet.
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
    const askedAtMs = clock.now();
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
    this.applyAnswer(source, answer.unsafeCoerce(), askedAtMs);
    if (this.wanted.size > 0) {
      // Such an answer comes at once; a source that is behind gives it again.
      await clock.sleep(IDLE_MS, signal);
    }
  }

  /**
   * Ages count from when the source read its views, which was no earlier than
   * the call and the time for which it was held.
   */
  private applyAnswer(
    source: protocol.Member,
    {heldMs, views, summary}: Answer,
    askedAtMs: number,
  ): void {
    const {staleAfterMs, onSummary} = this.options;
    if (summary) {
      onSummary(source, summary);
    }
    this.applyViews(views, askedAtMs + heldMs);
    if (views.some(({kind, ageMs}) => ageMs > staleAfterMs(kind))) {
      // It has lost the store itself; another one may not have.
      this.avoid(source);
    }
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
