/**
 * Knows the live upstreams and places attempts on them: feeds the platform's
 * list and load reports to the placement, a pure decision.
 */
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as upstreams from '@amaranthknot/upstreams';

/** Slots assumed for an upstream without a load report. */
const DEFAULT_SLOTS = 16;

/** Load that an engine reports. */
export interface LoadReport {
  readonly inFlight: number;
  readonly slots: number;
  /** Warm-up curve and progress; absent if the engine reports none. */
  readonly warmUp?: {
    readonly coldSlots: number;
    readonly warmMs: number;
    /** Time since it became cold, in milliseconds. */
    readonly ageMs: number;
  };
}

/** Dependencies of an `UpstreamDirectory`. */
export interface UpstreamDirectoryOptions {
  readonly placement: decisions.Placement;
  readonly clock: ports.Clock;
  /** Zones closed to one request; sampled per request by the zones' weights. */
  readonly sampleClosedZones: () => ReadonlySet<string>;
  /** Zones that operators have taken out; no request may use them. */
  readonly excludedZones: () => ReadonlySet<string>;
  readonly backoffs: decisions.UpstreamBackoffs;
  /** Whether one more request may start on an upstream that may be cold. */
  readonly mayStart?: (upstreamId: string) => boolean;
}

/** An attempt to place. */
export interface UpstreamRequest {
  /** `model@version`, or the name of a plain service. */
  readonly target: string;
  /** Equal for requests that share a prompt prefix. */
  readonly affinityKey?: string;
  /** Upstreams that must not be chosen again. */
  readonly tried?: readonly string[];
}

/** The platform's list does not say when an upstream started. */
const startOf = (id: string): decisions.UpstreamStart => ({
  id,
  startedAtMs: 0,
});

const ANSWER_BY_OUTCOME: Record<
  upstreams.AttemptOutcome,
  decisions.UpstreamOutcome
> = {
  finished: 'answered',
  refused: 'failed',
  failed: 'failed',
  cancelled: 'cancelled',
};

/** Places attempts on live upstreams. */
export class UpstreamDirectory {
  private listed = new Map<string, ports.ListedInstance>();
  private readonly slots = new Map<string, number>();

  constructor(private readonly options: UpstreamDirectoryOptions) {}

  /**
   * Applies the platform's list. While upstreams are known, an empty list is
   * ignored as a fault of the platform: otherwise every request would be
   * refused.
   */
  applyList(instances: readonly ports.ListedInstance[]): void {
    const found = instances.filter(instance => instance.role !== 'entry');
    if (found.length === 0 && this.listed.size > 0) {
      return;
    }
    this.listed = new Map(found.map(instance => [instance.id, instance]));
    this.options.backoffs.removeEnded();
    this.refreshCandidates();
  }

  /** Applies an upstream's load report. */
  applyReport(id: string, report: LoadReport): void {
    const now = this.options.clock.now();
    if (this.slots.get(id) !== report.slots) {
      this.slots.set(id, report.slots);
      this.refreshCandidates();
    }
    this.options.placement.report(id, report.inFlight, now);
  }

  /** Engines whose load reports this instance needs, with their addresses. */
  watched(): readonly {readonly id: string; readonly address: string}[] {
    return [...this.options.placement.watchedIds()]
      .map(id => this.listed.get(id))
      .filter(instance => instance?.role === 'engine')
      .map(instance => ({
        id: instance?.id ?? '',
        address: instance?.address ?? '',
      }));
  }

  /** All listed upstreams, for operators. */
  all(): readonly ports.ListedInstance[] {
    return [...this.listed.values()];
  }

  /** Chooses an upstream and records the start of an attempt. */
  place(request: UpstreamRequest): upstreams.Placement | undefined {
    const {placement, clock, backoffs, excludedZones, sampleClosedZones} =
      this.options;
    const started = clock.now();
    // If only zones that are being ramped up can take the request, use them:
    // the ramp protects caches and must not cause a refusal.
    const ramped = this.choose(request, sampleClosedZones());
    const outcome =
      ramped.kind === 'placed' ? ramped : this.choose(request, excludedZones());
    if (outcome.kind === 'unplaced') {
      return undefined;
    }
    const id = outcome.upstreamId;
    placement.start(id, started);
    let firstByteMs: number | undefined;
    return {
      upstream: id,
      address: this.listed.get(id)?.address ?? '',
      recordFirstToken: () => (firstByteMs ??= clock.now() - started),
      settle: (end, backoffMs) => {
        const now = clock.now();
        if (backoffMs !== undefined) {
          backoffs.record(startOf(id), backoffMs);
        }
        const latencyMs = firstByteMs ?? now - started;
        placement.finish(id, ANSWER_BY_OUTCOME[end], latencyMs, now);
      },
    };
  }

  /**
   * Time until the first upstream of a target takes requests again, in ms, if
   * all that are live asked for a backoff; undefined otherwise.
   */
  findWaitMs(target: string): number | undefined {
    const waits = [...this.listed.values()]
      .filter(({state, serves}) => state === 'live' && serves.includes(target))
      .map(({id}) => this.options.backoffs.findRemainingMs(startOf(id)));
    const firstMs = Math.min(...waits);
    return waits.length > 0 && firstMs > 0 ? firstMs : undefined;
  }

  private choose(
    request: UpstreamRequest,
    closedZones: ReadonlySet<string>,
  ): decisions.PlacementOutcome {
    const tried = new Set(request.tried ?? []);
    return this.options.placement.choose(
      {
        target: request.target,
        excludedZones: closedZones,
        accepts: id => !tried.has(id) && this.accepts(id),
        ...(request.affinityKey === undefined
          ? {}
          : {affinityKey: request.affinityKey}),
      },
      this.options.clock.now(),
    );
  }

  private accepts(id: string): boolean {
    const state = this.listed.get(id)?.state;
    const {backoffs, mayStart} = this.options;
    return (
      state === 'live' &&
      backoffs.findRemainingMs(startOf(id)) === 0 &&
      (mayStart?.(id) ?? true)
    );
  }

  private refreshCandidates(): void {
    this.options.placement.setCandidates(
      [...this.listed.values()].map(({id, zone, serves}) => ({
        id,
        zone,
        serves,
        slots: this.slots.get(id) ?? DEFAULT_SLOTS,
      })),
    );
  }
}
