/**
 * Picks an upstream for a try, from what one instance sees and hears.
 *
 * Load: long prompts beside short ones, prompts that share their beginnings,
 * and upstreams of which some fail, hang or are slow while their health is
 * good. Harm prevented: queues behind a long prompt while others are idle,
 * shared beginnings read again everywhere, every instance finding out by its
 * own callers' loss that an upstream fails, and hundreds of instances that all
 * choose the upstream which looked idle when they heard of it last.
 */
import * as engineTiers from './engine-tiers.js';
import type * as pickRequest from './pick-request.js';
import * as sample from './sample.js';
import * as upstreamCost from './upstream-cost.js';
import * as upstreamStats from './upstream-stats.js';

/** Signs of one upstream. */
export type UpstreamReport = upstreamStats.UpstreamSnapshot & {
  readonly id: string;
};

/** How a try ended. */
export type PickOutcome =
  'answered' | 'failed' | 'refused' | 'unreachable' | 'cancelled';

/** A try in progress. */
export interface UpstreamAttempt {
  /** The first byte of the answer has come. */
  readonly recordFirstByte: () => void;
  readonly end: (outcome: PickOutcome) => void;
}

/** Settings of a picker. */
export interface UpstreamPickerOptions {
  /** Called when an upstream is left alone for a while, with what it showed. */
  readonly onEject: (
    id: string,
    ejectionMs: number,
    stats: upstreamStats.UpstreamSnapshot,
  ) => void;
  readonly zone: string;
  readonly now: () => number;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/**
 * Least upstreams among which the best is chosen, drawn anew for each try; half
 * of them lie in the instance's own zone. What others have sent in the last
 * half second is not known: the best of all would be the same one for every
 * instance in that time, the better of two is another one for each.
 */
const MIN_SAMPLE_SIZE = 2;

/** Upstreams of the other tier that are drawn beside them. */
const OTHER_TIER_SAMPLE_SIZE = 1;

/**
 * Time for which an instance's part in the work of all is kept, in
 * milliseconds; it changes as instances come and go.
 */
const TRAFFIC_SHARE_TTL_MS = 1_000;

/** Failures in a row after which an upstream is left alone for a while. */
const CONSECUTIVE_FAILURE_LIMIT = 3;

/** Failures of the last seconds from which the rate tells something. */
const MIN_FAILURES_FOR_RATE = 3;

/** Failure rate above the others' from which an upstream is left alone. */
const FAILURE_RATE_EXCESS = 0.25;

/** How long an upstream is left alone, in milliseconds; doubles each time. */
const BASE_EJECTION_MS = 700;
const MAX_EJECTION_MS = 5_000;

interface UpstreamEntry {
  readonly id: string;
  readonly stats: upstreamStats.UpstreamStats;
  /** Not picked before, unless nothing else is there. */
  ejectedUntilMs: number;
  ejectionMs: number;
}

/** Picks upstreams for one instance. */
export class UpstreamPicker {
  private readonly entries = new Map<string, UpstreamEntry>();
  /** This instance's part in the work of all, and as of when. */
  private trafficShare = {atMs: -Infinity, value: 0};

  constructor(private readonly options: UpstreamPickerOptions) {}

  /** Forgets upstreams that are no longer there. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.entries.keys()) {
      if (!ids.has(id)) {
        this.entries.delete(id);
      }
    }
  }

  /**
   * Of a few candidates that are drawn, and the home of the prompt's beginning,
   * the one with the least cost; undefined where there is none.
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
    // Few have room left: most draws would miss them.
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

  /** The cheapest of candidates of the own tier and of the other one. */
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
   * Some candidates, of the own zone first, and the home. An instance that
   * sends most of all that is sent knows the rest well enough to look at most.
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
    const near = candidates.filter(candidate => candidate.zone === zone);
    const drawn = sample.drawSample(near, Math.ceil(count / 2), random);
    const others = candidates.filter(candidate => !drawn.includes(candidate));
    const remaining = sample.drawSample(others, count - drawn.length, random);
    const some = [...drawn, ...remaining];
    const atHome = candidates.find(({id}) => id === home);
    return !atHome || some.includes(atHome) ? some : [...some, atHome];
  }

  /** Part of all instances' requests that this one sends, 0 to 1. */
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

  /** Notes that a try begins. */
  start(id: string, request: pickRequest.PickRequest): UpstreamAttempt {
    const entry = this.entryOf(id);
    const {stats} = entry;
    // A sum of fractions can end below 0 once all of them are taken away, and
    // peers refuse a report of less than nothing.
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

  /** Weighted prompt tokens that wait at upstreams, of all instances. */
  sumWaitingTokens(ids: readonly string[]): number {
    const now = this.options.now();
    return ids.reduce(
      (sum, id) => sum + this.entryOf(id).stats.total(now).waitingTokens,
      0,
    );
  }

  /** What is known of an upstream, for the log. */
  describe(id: string): upstreamStats.UpstreamSnapshot {
    return this.entryOf(id).stats.total(this.options.now());
  }

  /**
   * What this instance tells others of upstreams: its own signs, and those it
   * heard from whom `counts` says.
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

  /** Takes in what another instance told of itself, or of others as well. */
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
        // Full, not broken: it is passed over until a slot may be free.
        entry.ejectedUntilMs = Math.max(
          entry.ejectedUntilMs,
          now + FULL_UPSTREAM_EJECTION_MS,
        );
        return;
      case 'unreachable':
        entry.stats.recordFailure(now);
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
    const usual = failed / Math.max(1, answered + failed);
    return (
      own.failed / (own.answered + own.failed) > usual + FAILURE_RATE_EXCESS
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

/** How long a full upstream is passed over, in milliseconds. */
const FULL_UPSTREAM_EJECTION_MS = 40;
