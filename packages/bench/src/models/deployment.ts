/** A deployment in virtual time: callers, entry instances and upstreams. */
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';
import * as baselines from './baselines.js';
import * as entryModel from './entry-model.js';
import * as simulation from './simulation.js';
import * as upstreamModel from './upstream-model.js';

/** Creates the admission of one entry instance. */
export type AdmissionFactory = (
  capacity: number,
  random: () => number,
) => entryModel.Admission;

/** Creates the placement of one entry instance. */
export type PlacementFactory = (
  instanceId: string,
  upstreams: readonly upstreamModel.UpstreamModel[],
  random: () => number,
) => entryModel.Placement;

/** Decides whether to retry a failed attempt; one for each instance. */
export interface Retrier {
  readonly recordAttempt: (upstreamId: string) => void;
  readonly tryRetry: (upstreamId: string, attempt: number) => boolean;
}

/** Conditions of a run. Decisions can be replaced by baselines. */
export interface DeploymentOptions {
  readonly seed: number;
  readonly entryInstances?: number;
  readonly upstreams?: number;
  readonly slots?: number;
  readonly cacheSize?: number;
  readonly createAdmission?: AdmissionFactory;
  readonly createPlacement?: PlacementFactory;
  readonly createRetrier?: () => Retrier;
  readonly cancelsLateWork?: boolean;
  /** Probability that an attempt started at a time fails. */
  readonly failureShare?: (nowMs: number) => number;
  readonly reportPeriodMs?: number;
  readonly reportLagMs?: number;
}

/** Ratio of the instances' total admission capacity to the upstreams' slots. */
const SLOT_OVERCOMMIT = 1.15;

/** Number of entry instances of today's deployments. */
export const DEFAULT_ENTRY_INSTANCES = 7;
export const DEFAULT_UPSTREAMS = 8;
export const DEFAULT_SLOTS = 16;
const DEFAULT_REPORT_PERIOD_MS = 1000;
const DEFAULT_REPORT_LAG_MS = 2000;

/** Creates the product's admission. */
export const createProductAdmission: AdmissionFactory = (capacity, random) =>
  new decisions.AdmissionQueue({capacity, random});

/** Creates admission in order of arrival. */
export const createBaselineAdmission: AdmissionFactory = capacity =>
  baselines.createFifoAdmission(capacity);

/** Creates the product's placement. */
export const createProductPlacement: PlacementFactory = (
  instanceId,
  upstreams,
  random,
) => {
  const zone = upstreams[0]?.options.zone ?? '';
  const placement = new decisions.Placement({instanceId, zone, random});
  placement.setCandidates(
    upstreams.map(({options}) => ({
      id: options.id,
      zone: options.zone,
      slots: options.slots,
      serves: [entryModel.TARGET],
    })),
  );
  return placement;
};

/** Creates random placement. */
export const createBaselinePlacement: PlacementFactory = (
  _id,
  upstreams,
  random,
) =>
  baselines.createRandomPlacement(
    upstreams.map(upstream => upstream.options.id),
    random,
  );

/** Retries within the product's retry budget. */
export const createProductRetrier = (): Retrier => {
  const budget = new decisions.RetryBudget();
  return {
    recordAttempt: id => budget.recordAttempt(id),
    tryRetry: id => budget.tryRetry(id),
  };
};

/** Retries each request up to three times. */
export const createBaselineRetrier = (): Retrier => ({
  recordAttempt: () => undefined,
  tryRetry: (_id, attempt) => attempt < 3,
});

/** Entry instances and upstreams in virtual time. */
export class Deployment {
  readonly time = new simulation.Simulation();
  readonly random: () => number;
  readonly upstreams: readonly upstreamModel.UpstreamModel[];
  readonly entries: readonly entryModel.EntryModel[];
  readonly admissions: readonly entryModel.Admission[];
  readonly outcomes: entryModel.CallerOutcome[] = [];
  /** Called with each outcome; benches use it to send refused requests again. */
  onOutcome: (outcome: entryModel.CallerOutcome) => void = () => undefined;
  private requests = 0;

  constructor(private readonly options: DeploymentOptions) {
    this.random = seededRandom.createRandom(options.seed);
    this.upstreams = this.createUpstreams();
    const count = options.entryInstances ?? DEFAULT_ENTRY_INSTANCES;
    const slots = this.upstreams.reduce((n, u) => n + u.options.slots, 0);
    const capacity = Math.max(1, Math.round((slots * SLOT_OVERCOMMIT) / count));
    const create = options.createAdmission ?? createProductAdmission;
    this.admissions = Array.from({length: count}, () =>
      create(capacity, this.random),
    );
    this.entries = this.admissions.map((admission, i) =>
      this.createEntry(admission, i),
    );
  }

  /** Total slots of all upstreams. */
  get slots(): number {
    return this.upstreams.reduce((n, u) => n + u.options.slots, 0);
  }

  /** Offers a request to a random entry instance. */
  offer(request: Omit<entryModel.CallerRequest, 'id' | 'offeredMs'>): void {
    const index = Math.floor(this.random() * this.entries.length);
    this.entries[index]?.offer({
      ...request,
      id: `request-${this.requests++}`,
      offeredMs: this.time.nowMs,
    });
  }

  /** Offers requests as a Poisson process whose rate may change, until `endMs`. */
  drive(
    ratePerSecond: (nowMs: number) => number,
    endMs: number,
    create: () => Omit<entryModel.CallerRequest, 'id' | 'offeredMs'>,
  ): void {
    const rate = ratePerSecond(this.time.nowMs);
    const gapMs = seededRandom.drawExponential(this.random, 1000 / rate);
    this.time.after(gapMs, () => {
      if (this.time.nowMs < endMs) {
        this.offer(create());
        this.drive(ratePerSecond, endMs, create);
      }
    });
  }

  private createUpstreams(): readonly upstreamModel.UpstreamModel[] {
    const {upstreams = DEFAULT_UPSTREAMS, slots = DEFAULT_SLOTS} = this.options;
    const {cacheSize} = this.options;
    return Array.from(
      {length: upstreams},
      (_, i) =>
        new upstreamModel.UpstreamModel(this.time, {
          id: `upstream-${i}`,
          zone: 'zone-a',
          slots,
          ...(cacheSize === undefined ? {} : {cacheSize}),
        }),
    );
  }

  private createEntry(
    admission: entryModel.Admission,
    index: number,
  ): entryModel.EntryModel {
    const {options, time} = this;
    const create = options.createPlacement ?? createProductPlacement;
    const placement = create(`entry-${index}`, this.upstreams, this.random);
    const retrier = (options.createRetrier ?? createProductRetrier)();
    this.scheduleReports(placement);
    return new entryModel.EntryModel({
      time,
      admission,
      placement,
      upstreams: new Map(this.upstreams.map(u => [u.options.id, u])),
      cancelsLateWork: options.cancelsLateWork ?? true,
      isAttemptBounced: () =>
        this.random() < (options.failureShare?.(time.nowMs) ?? 0),
      ...retrier,
      record: outcome => {
        this.outcomes.push(outcome);
        this.onOutcome(outcome);
      },
    });
  }

  private scheduleReports(placement: entryModel.Placement): void {
    const periodMs = this.options.reportPeriodMs ?? DEFAULT_REPORT_PERIOD_MS;
    const lagMs = this.options.reportLagMs ?? DEFAULT_REPORT_LAG_MS;
    for (const upstream of this.upstreams) {
      this.time.after(this.random() * periodMs, () =>
        this.time.every(periodMs, () => {
          const measuredMs = this.time.nowMs;
          const {load} = upstream;
          this.time.after(lagMs, () =>
            placement.report(upstream.options.id, load, measuredMs),
          );
        }),
      );
    }
  }
}
