/**
 * Picks an upstream for an attempt, from what one instance measures and what
 * its peers report.
 *
 * Load: long prompts mixed with short ones, prompts with shared prefixes, and
 * upstreams that fail, hang or are slow although their health checks pass.
 * Harm prevented: queues behind a long prompt while other upstreams are idle,
 * shared prefixes processed again by every upstream, each instance losing its
 * own callers' requests before it learns that an upstream fails, and hundreds
 * of instances all choosing the upstream that looked idle in the last report.
 */
import * as engineTiers from './engine-tiers.js';
import type * as pickRequest from './pick-request.js';
import * as sample from './sample.js';
import * as upstreamCost from './upstream-cost.js';
import * as upstreamStats from './upstream-stats.js';

/** Stats of one upstream, as instances report them to each other. */
export type UpstreamReport = upstreamStats.UpstreamSnapshot & {
  readonly id: string;
};

/** How an attempt ended. `refused` means that the upstream was full. */
export type PickOutcome =
  'answered' | 'failed' | 'refused' | 'unreachable' | 'cancelled';

/** An attempt in progress. */
export interface UpstreamAttempt {
  /** Records that the first byte of the answer has arrived. */
  readonly recordFirstByte: () => void;
  readonly end: (outcome: PickOutcome) => void;
}

/** Options of an upstream picker. */
export interface UpstreamPickerOptions {
  /** Called when an upstream is ejected, with its stats at that time. */
  readonly onEject: (
    id: string,
    ejectionMs: number,
    stats: upstreamStats.UpstreamSnapshot,
  ) => void;
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Current time, in milliseconds. */
  readonly now: () => number;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/**
 * Minimum number of upstreams compared for an attempt. They are drawn at random
 * each time, half of them from the instance's own zone. Requests that other
 * instances sent in the last half second are not known yet: in that time the
 * best of all upstreams would be the same for every instance, while the better
 * of two random ones differs between instances.
 */
const MIN_SAMPLE_SIZE = 2;

/** Number of upstreams of the other tier that are compared as well. */
const OTHER_TIER_SAMPLE_SIZE = 1;

/**
 * Time for which the computed traffic share is cached, in milliseconds. The
 * share changes as instances join and leave.
 */
const TRAFFIC_SHARE_TTL_MS = 1_000;

/** Consecutive failures after which an upstream is ejected. */
const CONSECUTIVE_FAILURE_LIMIT = 3;

/** Minimum failures in the stats window for a meaningful failure rate. */
const MIN_FAILURES_FOR_RATE = 3;

/** Excess over the failure rate of all upstreams that ejects an upstream. */
const FAILURE_RATE_EXCESS = 0.25;

/**
 * Duration of an ejection, in milliseconds. It doubles with each ejection, up
 * to the maximum, until the upstream answers.
 */
const BASE_EJECTION_MS = 700;
const MAX_EJECTION_MS = 5_000;

interface UpstreamEntry {
  readonly id: string;
  readonly stats: upstreamStats.UpstreamStats;
  /** Until then the upstream is picked only if no other is available. */
  ejectedUntilMs: number;
  ejectionMs: number;
}

/** Picks upstreams for one instance and keeps their stats. */
export class UpstreamPicker {
  private readonly entries = new Map<string, UpstreamEntry>();
  /** Cached traffic share of this instance, and when it was computed. */
  private trafficShare = {atMs: -Infinity, value: 0};

  constructor(private readonly options: UpstreamPickerOptions) {}

  /** Drops the stats of all upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.entries.keys()) {
      if (!ids.has(id)) {
        this.entries.delete(id);
      }
    }
  }

  /**
   * Returns the cheapest of a few random candidates and the home of the
   * prompt's prefix; undefined if there are no candidates.
   */
  pick(
    candidates: readonly pickRequest.PickCandidate[],
    request: pickRequest.PickRequest,
  ): pickRequest.PickCandidate | undefined {
    const now = this.options.now();
    const available = candidates.filter(
      ({id}) => this.entryOf(id).ejectedUntilMs <= now,
    );
    const usable = available.length > 0 ? available : candidates;
    const tiers = engineTiers.splitByTier(usable, request.tier);
    const home = engineTiers.findPrefixHome(tiers.own, request.prefixKey);
    const drawn = this.draw(tiers, home, now);
    const best = this.findBest(drawn, request, home, now);
    if (!best || !this.isNearlyFull(best, now)) {
      return best;
    }
    // Few upstreams have room left, and a random sample would miss most of
    // them.
    return this.findBest(tiers, request, home, now);
  }

  private isNearlyFull(
    {id, slots}: pickRequest.PickCandidate,
    now: number,
  ): boolean {
    const {inFlight} = this.entryOf(id).stats.total(now);
    return upstreamCost.isNearlyFull(inFlight, slots);
  }

  private costOf(
    candidate: pickRequest.PickCandidate,
    request: pickRequest.PickRequest,
    home: string | undefined,
    now: number,
  ): number {
    const {zone, random} = this.options;
    const {stats} = this.entryOf(candidate.id);
    const state = {
      candidate,
      stats: stats.total(now),
      ownWaitingTokens: stats.waitingTokens,
      isPrefixHome: candidate.id === home,
      isSameZone: candidate.zone === zone,
    };
    return upstreamCost.findCost(request, state, random);
  }

  /** The cheapest candidate; those of the other tier pay a penalty. */
  private findBest(
    {own, other}: engineTiers.EngineTiers,
    request: pickRequest.PickRequest,
    home: string | undefined,
    now: number,
  ): pickRequest.PickCandidate | undefined {
    const costs = [
      ...own.map(candidate => ({candidate, penalty: 0})),
      ...other.map(candidate => ({
        candidate,
        penalty: upstreamCost.OTHER_TIER_TOKENS,
      })),
    ].map(({candidate, penalty}) => ({
      candidate,
      cost: this.costOf(candidate, request, home, now) + penalty,
    }));
    const [first, ...others] = costs;
    const best =
      first && others.reduce((a, b) => (b.cost < a.cost ? b : a), first);
    return best?.candidate;
  }

  private draw(
    {own, other}: engineTiers.EngineTiers,
    home: string | undefined,
    now: number,
  ): engineTiers.EngineTiers {
    const {random} = this.options;
    return {
      own: this.drawOwn(own, home, now),
      other: sample.drawSample(other, OTHER_TIER_SAMPLE_SIZE, random),
    };
  }

  /**
   * Draws candidates, half of them from the own zone, and adds the prefix home.
   * The sample grows with the instance's share of all traffic: an instance that
   * sends most of the requests knows the load of most upstreams.
   */
  private drawOwn(
    candidates: readonly pickRequest.PickCandidate[],
    home: string | undefined,
    now: number,
  ): readonly pickRequest.PickCandidate[] {
    const {zone, random} = this.options;
    const trafficShare = this.findTrafficShare(now);
    const count = Math.max(
      MIN_SAMPLE_SIZE,
      Math.ceil(trafficShare * candidates.length),
    );
    const local = candidates.filter(candidate => candidate.zone === zone);
    const localSample = sample.drawSample(local, Math.ceil(count / 2), random);
    const others = candidates.filter(
      candidate => !localSample.includes(candidate),
    );
    const remaining = sample.drawSample(
      others,
      count - localSample.length,
      random,
    );
    const drawn = [...localSample, ...remaining];
    const homeCandidate = candidates.find(({id}) => id === home);
    return !homeCandidate || drawn.includes(homeCandidate)
      ? drawn
      : [...drawn, homeCandidate];
  }

  /** Fraction of all instances' requests that this one sends, 0 to 1. */
  private findTrafficShare(now: number): number {
    if (now - this.trafficShare.atMs < TRAFFIC_SHARE_TTL_MS) {
      return this.trafficShare.value;
    }
    let own = 0;
    let all = 0;
    for (const {stats} of this.entries.values()) {
      own += countRequests(stats.own(now));
      all += countRequests(stats.total(now));
    }
    this.trafficShare = {atMs: now, value: all === 0 ? 0 : own / all};
    return this.trafficShare.value;
  }

  /** Records the start of an attempt. The caller has to end it. */
  start(id: string, request: pickRequest.PickRequest): UpstreamAttempt {
    const entry = this.entryOf(id);
    const {stats} = entry;
    // Adding and subtracting fractions can leave a sum slightly below 0, and
    // peers refuse a report with a negative value.
    const promptTokens = Math.round(request.promptTokens);
    stats.inFlight++;
    stats.waitingTokens += promptTokens;
    stats.recordPrompt(promptTokens, this.options.now());
    let isWaiting = true;
    let isOpen = true;
    const recordFirstByte = () => {
      if (isWaiting) {
        isWaiting = false;
        stats.waitingTokens -= promptTokens;
      }
    };
    return {
      recordFirstByte,
      end: outcome => {
        if (isOpen) {
          isOpen = false;
          recordFirstByte();
          stats.inFlight--;
          this.recordEnd(entry, outcome);
        }
      },
    };
  }

  /**
   * Ends the ejection of an upstream that has come back, and forgets how attempts
   * failed while it was away.
   *
   * Guards against upstreams that are avoided for seconds after their return:
   * with failures and no answers they look worse than any other.
   */
  readmit(id: string): void {
    const entry = this.entries.get(id);
    if (entry) {
      entry.ejectedUntilMs = -Infinity;
      entry.ejectionMs = BASE_EJECTION_MS;
      entry.stats.forgetFailures();
    }
  }

  /** Requests that this instance has in progress at an upstream. */
  inFlightOf(id: string): number {
    return this.entries.get(id)?.stats.inFlight ?? 0;
  }

  /** Weighted tokens of all instances' prompts waiting at these upstreams. */
  sumWaitingTokens(ids: readonly string[]): number {
    const now = this.options.now();
    return ids.reduce(
      (sum, id) => sum + this.entryOf(id).stats.total(now).waitingTokens,
      0,
    );
  }

  /** Stats of an upstream over all instances, for the log. */
  describe(id: string): upstreamStats.UpstreamSnapshot {
    return this.entryOf(id).stats.total(this.options.now());
  }

  /**
   * Reports to send to other instances: this instance's own stats, plus those
   * reported by the instances that `includes` accepts. Idle upstreams are left
   * out.
   */
  report(
    includes: (
      instance: string,
      scope: upstreamStats.ReportScope,
    ) => boolean = () => false,
  ): readonly UpstreamReport[] {
    const now = this.options.now();
    return [...this.entries].flatMap(([id, {stats}]) => {
      const total = stats.total(now, includes);
      const isIdle = total.inFlight + total.answered + total.failed === 0;
      return isIdle ? [] : [{id, ...total}];
    });
  }

  /**
   * Merges the reports of another instance.
   *
   * @param scope whether they cover that instance alone or others as well.
   */
  merge(
    instance: string,
    reports: readonly UpstreamReport[],
    scope: upstreamStats.ReportScope = 'itself',
  ): void {
    const now = this.options.now();
    for (const {id, ...snapshot} of reports) {
      this.entries.get(id)?.stats.merge(instance, snapshot, scope, now);
    }
  }

  private recordEnd(entry: UpstreamEntry, outcome: PickOutcome): void {
    const now = this.options.now();
    switch (outcome) {
      case 'answered':
        entry.stats.recordAnswer(now);
        entry.ejectionMs = BASE_EJECTION_MS;
        return;
      case 'cancelled':
        return;
      case 'refused':
        // The upstream is full, not broken: skip it until a slot may be free.
        entry.ejectedUntilMs = Math.max(
          entry.ejectedUntilMs,
          now + FULL_UPSTREAM_EJECTION_MS,
        );
        return;
      case 'unreachable':
        // Not counted, as other instances may reach it, and counts are shared.
        this.eject(entry, now);
        return;
      case 'failed':
        entry.stats.recordFailure(now);
        if (
          entry.stats.consecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT ||
          this.hasExcessFailures(entry, now)
        ) {
          this.eject(entry, now);
        }
    }
  }

  private hasExcessFailures(entry: UpstreamEntry, now: number): boolean {
    const own = entry.stats.total(now);
    if (own.failed < MIN_FAILURES_FOR_RATE) {
      return false;
    }
    let answered = 0;
    let failed = 0;
    for (const other of this.entries.values()) {
      const total = other.stats.total(now);
      answered += total.answered;
      failed += total.failed;
    }
    const meanRate = failed / Math.max(1, answered + failed);
    return (
      own.failed / (own.answered + own.failed) > meanRate + FAILURE_RATE_EXCESS
    );
  }

  private eject(entry: UpstreamEntry, now: number): void {
    const ejectionMs = entry.ejectionMs * (1 + this.options.random() / 2);
    entry.ejectedUntilMs = now + ejectionMs;
    this.options.onEject(entry.id, ejectionMs, entry.stats.total(now));
    entry.ejectionMs = Math.min(MAX_EJECTION_MS, entry.ejectionMs * 2);
  }

  private entryOf(id: string): UpstreamEntry {
    const known = this.entries.get(id);
    if (known) {
      return known;
    }
    const created = {
      id,
      stats: new upstreamStats.UpstreamStats(),
      ejectedUntilMs: -Infinity,
      ejectionMs: BASE_EJECTION_MS,
    };
    this.entries.set(id, created);
    return created;
  }
}

const countRequests = (stats: upstreamStats.UpstreamSnapshot): number =>
  stats.inFlight + stats.answered + stats.failed;

/** Duration for which a full upstream is skipped, in milliseconds. */
const FULL_UPSTREAM_EJECTION_MS = 40;
