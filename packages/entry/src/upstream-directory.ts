/**
 * Which upstreams exist and which one gets the next attempt: the platform's
 * list and load reports on one side, the pure placement on the other.
 */
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as upstreams from '@amaranthknot/upstreams';

/** Slots of an upstream that has not reported any. */
const DEFAULT_SLOTS = 16;

/** What an engine reports of itself. */
export interface LoadReport {
  readonly inFlight: number;
  readonly slots: number;
  /** How it warms up, where it tells. */
  readonly warmUp?: {
    readonly coldSlots: number;
    readonly warmMs: number;
    /** Time since it turned cold, in milliseconds. */
    readonly ageMs: number;
  };
}

/** What the directory works with. */
export interface UpstreamDirectoryOptions {
  readonly placement: decisions.Placement;
  readonly clock: ports.Clock;
  /** Zones that a request must not use, drawn anew for each. */
  readonly sampleClosedZones: () => ReadonlySet<string>;
  /** Zones that operators have taken out; never used. */
  readonly excludedZones: () => ReadonlySet<string>;
  /** Whether one more request fits an upstream that may be cold. */
  readonly mayStart?: (upstreamId: string) => boolean;
}

/** What has to run, and with what it shares a prefix. */
export interface UpstreamRequest {
  /** `model@version`, or the name of a plain service. */
  readonly target: string;
  readonly affinityKey?: string;
  readonly tried?: readonly string[];
}

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
   * Takes in the platform's list. An empty list is taken for a fault of the
   * platform while upstreams are known: forgetting all of them at once would
   * refuse every request.
   */
  applyList(instances: readonly ports.ListedInstance[]): void {
    const found = instances.filter(instance => instance.role !== 'entry');
    if (found.length === 0 && this.listed.size > 0) {
      return;
    }
    this.listed = new Map(found.map(instance => [instance.id, instance]));
    this.refreshCandidates();
  }

  /** Takes in an upstream's load report. */
  applyReport(id: string, report: LoadReport): void {
    const now = this.options.clock.now();
    if (this.slots.get(id) !== report.slots) {
      this.slots.set(id, report.slots);
      this.refreshCandidates();
    }
    this.options.placement.report(id, report.inFlight, now);
  }

  /** Engines whose load this instance needs, with their addresses. */
  watched(): readonly {readonly id: string; readonly address: string}[] {
    return [...this.options.placement.watchedIds()]
      .map(id => this.listed.get(id))
      .filter(instance => instance?.role === 'engine')
      .map(instance => ({
        id: instance?.id ?? '',
        address: instance?.address ?? '',
      }));
  }

  /** All upstreams, for status. */
  all(): readonly ports.ListedInstance[] {
    return [...this.listed.values()];
  }

  /** Chooses an upstream and notes the start of an attempt. */
  place(request: UpstreamRequest): upstreams.Placement | undefined {
    const {placement, clock, excludedZones, sampleClosedZones} = this.options;
    const started = clock.now();
    // Where only zones still ramping up could take it, they do: the ramp
    // spares caches, and must not refuse a request.
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
      settle: end => {
        const now = clock.now();
        const latencyMs = firstByteMs ?? now - started;
        placement.finish(id, ANSWER_BY_OUTCOME[end], latencyMs, now);
      },
    };
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
    return state === 'live' && (this.options.mayStart?.(id) ?? true);
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
