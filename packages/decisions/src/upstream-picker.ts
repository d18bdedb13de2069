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
import * as rendezvous from './rendezvous.js';
import * as sample from './sample.js';
import * as upstreamSigns from './upstream-signs.js';

/** An upstream that may be picked. */
export interface PickCandidate {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
}

/** What one try brings to an upstream. */
export interface PickWork {
  /** Tokens to read, weighted by what the model takes for each; 0 for none. */
  readonly promptTokens: number;
  /** Tokens of the answer to expect, weighted alike; 0 for none. */
  readonly answerTokens: number;
  /** Of the prompt, tokens of a beginning that other requests share. */
  readonly sharedTokens: number;
  /** Names that beginning; undefined where nothing is shared. */
  readonly sharedKey: string | undefined;
  /** Whether a cheap or a capable model runs; absent where there is one. */
  readonly tier?: 'cheap' | 'capable';
}

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
 * Cost of one request in progress, in prompt tokens. An engine's step takes a
 * few percent longer for each request of its batch; thirty of them delay a
 * first token about as much as one long prompt.
 */
const REQUEST_TOKENS = 250;

/**
 * Time that making an answer's token counts for, in seconds, against the
 * prompts that come in it: a fifth of what a capable model takes, for an answer
 * that is held up is still on time if it began in time.
 */
const ANSWER_TOKEN_S = 0.002;

/**
 * Part of a prompt's cost that it brings to each request in progress, which
 * mostly can wait.
 */
const HELD_UP_PART = 0.02;

/**
 * Most that standing still counts for, in prompt tokens: less than an engine
 * that is set apart for the other tier, which reads little by this measure.
 */
const MOST_STANDSTILL_TOKENS = 4_000;

/**
 * Cost of another zone, in prompt tokens: two ms of round trip and the price
 * of the bytes, less than reading a short shared beginning again.
 */
const ZONE_TOKENS = 300;

/**
 * Part of the engines that is set apart for cheap models. They read all
 * prompts first, at a tenth of the capable model's time for each token, and
 * make tokens up to twice as slowly where a capable model reads beside them.
 */
const CHEAP_PART = 0.3;

/**
 * Cost of an engine that is set apart for the other tier, in prompt tokens:
 * as much as a long prompt, so that a tier spills over when its own are full.
 */
const OTHER_TIER_TOKENS = 5_000;

/**
 * Cost of an engine whose batch is full, in prompt tokens: a prompt waits there
 * until an answer of others has ended, or takes the place of one in progress,
 * which is read again later. It is more than an engine of the other tier.
 */
const FULL_BATCH_TOKENS = 12_000;

/**
 * Part of an engine's batch from which on it counts as filling up. What others
 * have sent there in the last half second is not known yet.
 */
const FILLING_PART = 0.6;

/** Differences below this many tokens are chance; among them the draw decides. */
const NOISE_TOKENS = 150;

/**
 * Cost of a whole batch, in prompt tokens, for plain services: a request that
 * has to wait for a slot waits for as long as one takes.
 */
const FULL_TOKENS = 6_000;

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

/** Cost of the failure rate, in tokens: what a failed try wastes. */
const FAILURE_TOKENS = 12_000;

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
    candidates: readonly PickCandidate[],
    work: PickWork,
  ): PickCandidate | undefined {
    const now = this.options.now();
    const rested = candidates.filter(({id}) => this.row(id).restUntilMs <= now);
    const usable = rested.length > 0 ? rested : candidates;
    const tiers = splitByTier(usable, work.tier);
    const home = findHome(tiers.own, work.sharedKey);
    const drawn = this.draw(tiers, home, now);
    const best = this.findBest(drawn, work, home, now);
    if (!best || !this.isFillingUp(best, now)) {
      return best;
    }
    // Few have room left: most draws would miss them.
    return this.findBest(tiers, work, home, now);
  }

  private isFillingUp({id, slots}: PickCandidate, now: number): boolean {
    return this.row(id).signs.total(now).inFlight >= FILLING_PART * slots;
  }

  /** The cheapest of candidates of the own tier and of the other one. */
  private findBest(
    {own, other}: Tiers,
    work: PickWork,
    home: string | undefined,
    now: number,
  ): PickCandidate | undefined {
    const costs = [
      ...own.map(candidate => ({candidate, apart: 0})),
      ...other.map(candidate => ({candidate, apart: OTHER_TIER_TOKENS})),
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
    {own, other}: Tiers,
    home: string | undefined,
    now: number,
  ): Tiers {
    const {random} = this.options;
    return {
      own: this.drawOwn(own, home, now),
      other: sample.drawSome(other, DRAWN_OTHER_TIER, random),
    };
  }

  /**
   * Some candidates, of the own zone first, and the home. An instance that
   * sends most of all that is sent knows the rest well enough to look at most.
   */
  private drawOwn(
    candidates: readonly PickCandidate[],
    home: string | undefined,
    now: number,
  ): readonly PickCandidate[] {
    const {zone, random} = this.options;
    const part = this.partOfWork(now);
    const count = Math.max(LEAST_DRAWN, Math.ceil(part * candidates.length));
    const near = candidates.filter(candidate => candidate.zone === zone);
    const drawn = sample.drawSome(near, Math.ceil(count / 2), random);
    const others = candidates.filter(candidate => !drawn.includes(candidate));
    const rest = sample.drawSome(others, count - drawn.length, random);
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
  start(id: string, work: PickWork): PickTicket {
    const row = this.row(id);
    const {signs} = row;
    signs.inFlight++;
    signs.waitingTokens += work.promptTokens;
    signs.notePrompt(work.promptTokens, this.options.now());
    let isWaiting = true;
    let isOpen = true;
    const begun = () => {
      if (isWaiting) {
        isWaiting = false;
        signs.waitingTokens -= work.promptTokens;
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

  private costOf(
    candidate: PickCandidate,
    work: PickWork,
    home: string | undefined,
    now: number,
  ): number {
    const {signs} = this.row(candidate.id);
    const {inFlight, tokensPerS, answered, failed} = signs.total(now);
    const isGeneration = work.promptTokens > 0;
    const load = isGeneration
      ? signs.waitingTokens +
        inFlight * REQUEST_TOKENS +
        fullnessTokens(inFlight, candidate.slots) +
        standstillTokens(work, inFlight, tokensPerS)
      : (inFlight / candidate.slots) * FULL_TOKENS;
    const unread =
      work.promptTokens - (candidate.id === home ? work.sharedTokens : 0);
    const far = candidate.zone === this.options.zone ? 0 : ZONE_TOKENS;
    const rate = failed / (answered + failed + 1);
    const noise = this.options.random() * NOISE_TOKENS;
    return load + unread + far + rate * FAILURE_TOKENS + noise;
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

/**
 * Cost of standing still, in prompt tokens. An engine makes no answer's token
 * while it reads a piece of a prompt: a long answer is held up by the prompts
 * that come meanwhile, and a long prompt holds up the answers in progress.
 * Counted, long answers and long prompts find their way to different engines;
 * side by side, answers of a few seconds took twenty, and were cut by their
 * time limit or by the end of a process.
 */
const standstillTokens = (
  {promptTokens, answerTokens}: PickWork,
  inFlight: number,
  tokensPerS: number,
): number =>
  Math.min(
    MOST_STANDSTILL_TOKENS,
    ANSWER_TOKEN_S * answerTokens * tokensPerS +
      HELD_UP_PART * promptTokens * inFlight,
  );

/**
 * Cost of a batch that fills up, in prompt tokens. Engines that are set apart
 * for a tier spill over before their batches are full: those of 16 places had
 * answers in progress pushed out while others stood half empty.
 */
const fullnessTokens = (inFlight: number, slots: number): number => {
  const filled = (inFlight / slots - FILLING_PART) / (1 - FILLING_PART);
  return FULL_BATCH_TOKENS * Math.max(0, filled);
};

/** Names the ranking that sets engines apart; any fixed text does. */
const TIER_KEY = 'tier';

/** Engines by whether they are set apart for the tier of a try. */
interface Tiers {
  readonly own: readonly PickCandidate[];
  readonly other: readonly PickCandidate[];
}

/** Engines that are set apart for a tier, the same on all instances. */
const splitByTier = (
  candidates: readonly PickCandidate[],
  tier: PickWork['tier'],
): Tiers => {
  const {length} = candidates;
  if (length < 2 || tier === undefined) {
    return {own: candidates, other: []};
  }
  const count = Math.max(1, Math.round(CHEAP_PART * length));
  const cheap = rendezvous.rankByRendezvous(
    TIER_KEY,
    candidates.map(({id}) => id),
    count,
  );
  const isOwn = ({id}: PickCandidate) =>
    cheap.includes(id) === (tier === 'cheap');
  return {
    own: candidates.filter(isOwn),
    other: candidates.filter(candidate => !isOwn(candidate)),
  };
};

/** The upstream to which all instances send a shared beginning. */
const findHome = (
  candidates: readonly PickCandidate[],
  sharedKey: string | undefined,
): string | undefined =>
  sharedKey === undefined
    ? undefined
    : rendezvous.rankByRendezvous(
        sharedKey,
        candidates.map(({id}) => id),
        1,
      )[0];
