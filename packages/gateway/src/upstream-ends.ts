/**
 * Tells the end of an upstream from a single broken connection, and finds the
 * requests that it had not begun to answer.
 *
 * After an end all connections to the upstream are broken at once, and new ones
 * are refused, which a connection that was reset alone doesn't show.
 */
import type * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';

/** Resolves to whether an upstream refuses new connections. */
export type CheckRefusal = (upstream: routing.Upstream) => Promise<boolean>;

/** An attempt as far as an end concerns it. */
export interface WatchedAttempt {
  /** Id of the request. */
  readonly request: string;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly parts: readonly string[];
  /** Name of its workspace; empty if the route is public. */
  readonly workspace: string;
}

/** Follows one attempt; each function may be called more than once. */
export interface AttemptWatch {
  /** An event or the whole body of the answer has arrived. */
  readonly recordAnswer: () => void;
  /**
   * The connection broke. Resolves when it has been checked whether that was the
   * end of the upstream, if the attempt was not answered: before that, it should
   * not be sent to the next one.
   */
  readonly recordBreak: () => Promise<void>;
  /** The attempt has ended. */
  readonly settle: () => void;
}

/** An upstream that has ended, as this instance saw it. */
export interface UpstreamEnd {
  readonly upstream: routing.Upstream;
  readonly atMs: number;
  /** Number of its answers that broke off after they had begun. */
  readonly begun: number;
  /** The attempts that it had not begun to answer. */
  readonly unanswered: readonly UnansweredAttempt[];
  /** Starts of other upstreams whose connections broke at the same moment. */
  readonly coincident: readonly string[];
}

/** An attempt that was not answered, and when it was sent. */
export interface UnansweredAttempt extends WatchedAttempt {
  readonly sentAtMs: number;
}

/** What `UpstreamEnds` needs. */
export interface UpstreamEndsOptions {
  readonly now: () => number;
  readonly sleep: (ms: number) => Promise<void>;
  readonly checkRefusal: CheckRefusal;
  /**
   * Called when an end is known, and again with attempts that break later.
   */
  readonly onEnd: (end: UpstreamEnd) => void;
  /** Called while an answer arrives, with the parts of its request. */
  readonly onAnswer: (parts: readonly string[]) => void;
}

/**
 * Wait before the first check, in milliseconds: the other connections to an
 * upstream that has ended break within a few milliseconds.
 */
const FIRST_CHECK_MS = 20;

/**
 * Time within which ends of upstreams coincide, in milliseconds: well below the
 * time from one end to the next that a request can cause.
 */
const COINCIDENCE_MS = 30;

/** Coincident ends that are named at most; one is enough to tell. */
const MAX_COINCIDENT = 4;

/** Wait before the second check, in milliseconds. */
const RECHECK_MS = 100;

/** Time for which an end is remembered for late breaks, in milliseconds. */
const END_MEMORY_MS = 10_000;

/** Time after which an answer that goes on is reported again, in ms. */
const ANSWER_INTERVAL_MS = 250;

interface OpenAttempt {
  readonly attempt: UnansweredAttempt;
  answeredAtMs: number;
}

interface SuspectedEnd {
  readonly upstream: routing.Upstream;
  readonly atMs: number;
  begun: number;
  unanswered: UnansweredAttempt[];
  hasEnded: boolean;
  /** Resolves to whether the first check has shown the end. */
  firstCheck: Promise<boolean>;
}

/** Longest id that messages between instances hold, in characters. */
const MAX_ID_LENGTH = 200;

/** Name of one start of an upstream, the same at all instances. */
export const nameStart = ({id, startedAtMs}: decisions.UpstreamStart): string =>
  `${id.slice(0, MAX_ID_LENGTH)}/${startedAtMs}`;

/** Watches the attempts of one instance. */
export class UpstreamEnds {
  /** Attempts in progress, by start of their upstream. */
  private readonly open = new Map<string, Set<OpenAttempt>>();
  private readonly ends = new Map<string, SuspectedEnd>();

  constructor(private readonly options: UpstreamEndsOptions) {}

  /** Begins to watch an attempt that is sent now. */
  watch(upstream: routing.Upstream, watched: WatchedAttempt): AttemptWatch {
    const start = nameStart(upstream);
    const attempts = this.open.get(start) ?? new Set();
    this.open.set(start, attempts);
    const sentAtMs = this.options.now();
    const opened: OpenAttempt = {
      attempt: {...watched, sentAtMs},
      answeredAtMs: -Infinity,
    };
    attempts.add(opened);
    const close = (): boolean => {
      const wasOpen = attempts.delete(opened);
      if (attempts.size === 0 && this.open.get(start) === attempts) {
        this.open.delete(start);
      }
      return wasOpen;
    };
    return {
      recordAnswer: () => {
        this.recordAnswer(opened);
      },
      recordBreak: async () => {
        if (close()) {
          await this.recordBreak(upstream, opened);
        }
      },
      settle: close,
    };
  }

  private recordAnswer(opened: OpenAttempt): void {
    const now = this.options.now();
    if (now - opened.answeredAtMs >= ANSWER_INTERVAL_MS) {
      opened.answeredAtMs = now;
      this.options.onAnswer(opened.attempt.parts);
    }
  }

  private async recordBreak(
    upstream: routing.Upstream,
    {attempt, answeredAtMs}: OpenAttempt,
  ): Promise<void> {
    // Each check costs a connection, and no part could be to blame.
    if (attempt.parts.length === 0) {
      return;
    }
    const now = this.options.now();
    this.forgetOldEnds(now);
    const start = nameStart(upstream);
    const known = this.ends.get(start);
    // It was sent over a connection that was broken already.
    if (known && attempt.sentAtMs > known.atMs) {
      return;
    }
    const unanswered = answeredAtMs === -Infinity ? [attempt] : [];
    const end = known ?? this.suspectEnd(start, upstream, now);
    end.begun += 1 - unanswered.length;
    end.unanswered.push(...unanswered);
    if (end.hasEnded && unanswered.length > 0) {
      const coincident = this.findCoincident(start, end);
      this.options.onEnd({...end, unanswered, coincident});
    }
    if (unanswered.length > 0) {
      await end.firstCheck;
    }
  }

  private suspectEnd(
    start: string,
    upstream: routing.Upstream,
    atMs: number,
  ): SuspectedEnd {
    const end: SuspectedEnd = {
      upstream,
      atMs,
      begun: 0,
      unanswered: [],
      hasEnded: false,
      firstCheck: Promise.resolve(false),
    };
    this.ends.set(start, end);
    end.firstCheck = this.check(start, end, FIRST_CHECK_MS);
    void this.finishChecks(start, end);
    return end;
  }

  /** A process that ends may close its connections before its listener. */
  private async finishChecks(start: string, end: SuspectedEnd): Promise<void> {
    const isKnown =
      (await end.firstCheck) || (await this.check(start, end, RECHECK_MS));
    if (!isKnown) {
      this.ends.delete(start);
    }
  }

  /** Resolves to whether the upstream has ended, after a wait. */
  private async check(
    start: string,
    end: SuspectedEnd,
    delayMs: number,
  ): Promise<boolean> {
    const {sleep, checkRefusal, onEnd} = this.options;
    await sleep(delayMs);
    end.hasEnded =
      !this.hasOthers(start, end) && (await checkRefusal(end.upstream));
    if (end.hasEnded) {
      onEnd({
        ...end,
        unanswered: [...end.unanswered],
        coincident: this.findCoincident(start, end),
      });
    }
    return end.hasEnded;
  }

  private findCoincident(
    start: string,
    {atMs}: SuspectedEnd,
  ): readonly string[] {
    return [...this.ends]
      .filter(
        ([other, end]) =>
          other !== start && Math.abs(end.atMs - atMs) <= COINCIDENCE_MS,
      )
      .map(([other]) => other)
      .slice(0, MAX_COINCIDENT);
  }

  /** Whether requests sent before the break go on: their connections live. */
  private hasOthers(start: string, {atMs}: SuspectedEnd): boolean {
    const others = [...(this.open.get(start) ?? [])];
    return others.some(({attempt}) => attempt.sentAtMs <= atMs);
  }

  private forgetOldEnds(now: number): void {
    for (const [start, {atMs, hasEnded}] of this.ends) {
      if (hasEnded && now - atMs > END_MEMORY_MS) {
        this.ends.delete(start);
      }
    }
  }
}
