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
import type * as pickWork from './pick-work.js';
import * as sample from './sample.js';
import * as upstreamCost from './upstream-cost.js';
import * as upstreamSigns from './upstream-signs.js';

/** Signs of one upstream. */
export type NamedSigns = upstreamSigns.HeardSigns & {readonly id: string};

/** How a try ended. */
export type PickOutcome =
  'answered' | 'failed' | 'refused' | 'unreachable' | 'cancelled';

/** A try in progress. */
export interface PickTicket {
  /** The first byte of the answer has come. */
  readonly begun: () => void;
  readonly end: (outcome: PickOutcome) => void;
}

/** Settings of a picker. */
export interface UpstreamPickerOptions {
  /** Called when an upstream is left alone for a while, with what it showed. */
  readonly onRest: (
    id: string,
    restMs: number,
    signs: upstreamSigns.HeardSigns,
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
const LEAST_DRAWN = 2;

/** Upstreams of the other tier that are drawn beside them. */
const DRAWN_OTHER_TIER = 1;

/**
 * Time for which an instance's part in the work of all is kept, in
 * milliseconds; it changes as instances come and go.
 */
const PART_MS = 1_000;

/** Failures in a row after which an upstream is left alone for a while. */
const ROW_LIMIT = 3;

/** Failures of the last seconds from which the rate tells something. */
const RATE_COUNT = 3;

/** Failure rate above the others' from which an upstream is left alone. */
const RATE_EXCESS = 0.25;

/** How long an upstream is left alone, in milliseconds; doubles each time. */
const REST_MS = 700;
const LONGEST_REST_MS = 5_000;

interface Row {
  readonly id: string;
  readonly signs: upstreamSigns.UpstreamSigns;
  /** Not picked before, unless nothing else is there. */
  restUntilMs: number;
  restMs: number;
}

/** Picks upstreams for one instance. */
export class UpstreamPicker {
  private readonly rows = new Map<string, Row>();
  /** This instance's part in the work of all, and as of when. */
  private part = {atMs: -Infinity, value: 0};

  constructor(private readonly options: UpstreamPickerOptions) {}

  /** Forgets upstreams that are no longer there. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const id of this.rows.keys()) {
      if (!ids.has(id)) {
        this.rows.delete(id);
      }
    }
  }

  /**
   * Of a few candidates that are drawn, and the home of the prompt's beginning,
   * the one with the least cost; undefined where there is none.
   */
  pick(
    candidates: readonly pickWork.PickCandidate[],
    work: pickWork.PickWork,
  ): pickWork.PickCandidate | undefined {
    const now = this.options.now();
    const rested = candidates.filter(({id}) => this.row(id).restUntilMs <= now);
    const usable = rested.length > 0 ? rested : candidates;
    const tiers = engineTiers.splitByTier(usable, work.tier);
    const home = engineTiers.findHome(tiers.own, work.sharedKey);
    const drawn = this.draw(tiers, home, now);
    const best = this.findBest(drawn, work, home, now);
    if (!best || !this.isFillingUp(best, now)) {
      return best;
    }
    // Few have room left: most draws would miss them.
    return this.findBest(tiers, work, home, now);
  }

  private isFillingUp(
    {id, slots}: pickWork.PickCandidate,
    now: number,
  ): boolean {
    const {inFlight} = this.row(id).signs.total(now);
    return upstreamCost.isFillingUp(inFlight, slots);
  }

  private costOf(
    candidate: pickWork.PickCandidate,
    work: pickWork.PickWork,
    home: string | undefined,
    now: number,
  ): number {
    const {zone, random} = this.options;
    const {signs} = this.row(candidate.id);
    const outlook = {
      candidate,
      signs: signs.total(now),
      ownWaitingTokens: signs.waitingTokens,
      isHome: candidate.id === home,
      isNear: candidate.zone === zone,
    };
    return upstreamCost.findCost(work, outlook, random);
  }

  /** The cheapest of candidates of the own tier and of the other one. */
  private findBest(
    {own, other}: engineTiers.EngineTiers,
    work: pickWork.PickWork,
    home: string | undefined,
    now: number,
  ): pickWork.PickCandidate | undefined {
    const costs = [
      ...own.map(candidate => ({candidate, apart: 0})),
      ...other.map(candidate => ({
        candidate,
        apart: upstreamCost.OTHER_TIER_TOKENS,
      })),
    ].map(({candidate, apart}) => ({
      candidate,
      cost: this.costOf(candidate, work, home, now) + apart,
    }));
    const [first, ...rest] = costs;
    const best =
      first && rest.reduce((a, b) => (b.cost < a.cost ? b : a), first);
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
      other: sample.drawSample(other, DRAWN_OTHER_TIER, random),
    };
  }

  /**
   * Some candidates, of the own zone first, and the home. An instance that
   * sends most of all that is sent knows the rest well enough to look at most.
   */
  private drawOwn(
    candidates: readonly pickWork.PickCandidate[],
    home: string | undefined,
    now: number,
  ): readonly pickWork.PickCandidate[] {
    const {zone, random} = this.options;
    const part = this.partOfWork(now);
    const count = Math.max(LEAST_DRAWN, Math.ceil(part * candidates.length));
    const near = candidates.filter(candidate => candidate.zone === zone);
    const drawn = sample.drawSample(near, Math.ceil(count / 2), random);
    const others = candidates.filter(candidate => !drawn.includes(candidate));
    const rest = sample.drawSample(others, count - drawn.length, random);
    const some = [...drawn, ...rest];
    const atHome = candidates.find(({id}) => id === home);
    return !atHome || some.includes(atHome) ? some : [...some, atHome];
  }

  /** Part of all instances' requests that this one sends, 0 to 1. */
  private partOfWork(now: number): number {
    if (now - this.part.atMs < PART_MS) {
      return this.part.value;
    }
    let own = 0;
    let all = 0;
    for (const {signs} of this.rows.values()) {
      own += countRequests(signs.own(now));
      all += countRequests(signs.total(now));
    }
    this.part = {atMs: now, value: all === 0 ? 0 : own / all};
    return this.part.value;
  }

  /** Notes that a try begins. */
  start(id: string, work: pickWork.PickWork): PickTicket {
    const row = this.row(id);
    const {signs} = row;
    // A sum of fractions can end below 0 once all of them are taken away, and
    // peers refuse a report of less than nothing.
    const promptTokens = Math.round(work.promptTokens);
    signs.inFlight++;
    signs.waitingTokens += promptTokens;
    signs.notePrompt(promptTokens, this.options.now());
    let isWaiting = true;
    let isOpen = true;
    const begun = () => {
      if (isWaiting) {
        isWaiting = false;
        signs.waitingTokens -= promptTokens;
      }
    };
    return {
      begun,
      end: outcome => {
        if (isOpen) {
          isOpen = false;
          begun();
          signs.inFlight--;
          this.noteEnd(row, outcome);
        }
      },
    };
  }

  /** Weighted prompt tokens that wait at upstreams, of all instances. */
  sumWaitingTokens(ids: readonly string[]): number {
    const now = this.options.now();
    return ids.reduce(
      (sum, id) => sum + this.row(id).signs.total(now).waitingTokens,
      0,
    );
  }

  /** What is known of an upstream, for the log. */
  describe(id: string): upstreamSigns.HeardSigns {
    return this.row(id).signs.total(this.options.now());
  }

  /**
   * What this instance tells others of upstreams: its own signs, and those it
   * heard from whom `counts` says.
   */
  report(
    counts: (
      instance: string,
      scope: upstreamSigns.SignsScope,
    ) => boolean = () => false,
  ): readonly NamedSigns[] {
    const now = this.options.now();
    return [...this.rows].flatMap(([id, {signs}]) => {
      const told = signs.total(now, counts);
      const isIdle = told.inFlight + told.answered + told.failed === 0;
      return isIdle ? [] : [{id, ...told}];
    });
  }

  /** Takes in what another instance told of itself, or of others as well. */
  hear(
    instance: string,
    signs: readonly NamedSigns[],
    scope: upstreamSigns.SignsScope = 'itself',
  ): void {
    const now = this.options.now();
    for (const {id, ...heard} of signs) {
      this.rows.get(id)?.signs.hear(instance, heard, scope, now);
    }
  }

  private noteEnd(row: Row, outcome: PickOutcome): void {
    const now = this.options.now();
    switch (outcome) {
      case 'answered':
        row.signs.noteAnswer(now);
        row.restMs = REST_MS;
        return;
      case 'cancelled':
        return;
      case 'refused':
        // Full, not broken: it is passed over until a slot may be free.
        row.restUntilMs = Math.max(row.restUntilMs, now + REFUSED_REST_MS);
        return;
      case 'unreachable':
        row.signs.noteFailure(now);
        this.rest(row, now);
        return;
      case 'failed':
        row.signs.noteFailure(now);
        if (row.signs.failuresInRow >= ROW_LIMIT || this.failsMore(row, now)) {
          this.rest(row, now);
        }
    }
  }

  private failsMore(row: Row, now: number): boolean {
    const own = row.signs.total(now);
    if (own.failed < RATE_COUNT) {
      return false;
    }
    let answered = 0;
    let failed = 0;
    for (const other of this.rows.values()) {
      const total = other.signs.total(now);
      answered += total.answered;
      failed += total.failed;
    }
    const usual = failed / Math.max(1, answered + failed);
    return own.failed / (own.answered + own.failed) > usual + RATE_EXCESS;
  }

  private rest(row: Row, now: number): void {
    const restMs = row.restMs * (1 + this.options.random() / 2);
    row.restUntilMs = now + restMs;
    this.options.onRest(row.id, restMs, row.signs.total(now));
    row.restMs = Math.min(LONGEST_REST_MS, row.restMs * 2);
  }

  private row(id: string): Row {
    const known = this.rows.get(id);
    if (known) {
      return known;
    }
    const created = {
      id,
      signs: new upstreamSigns.UpstreamSigns(),
      restUntilMs: -Infinity,
      restMs: REST_MS,
    };
    this.rows.set(id, created);
    return created;
  }
}

const countRequests = (signs: upstreamSigns.HeardSigns): number =>
  signs.inFlight + signs.answered + signs.failed;

/** How long a full upstream is passed over, in milliseconds. */
const REFUSED_REST_MS = 40;
