/**
 * Decisions and beliefs of one instance as JSON lines: what was decided, for
 * which request, from which inputs, and how old they were.
 *
 * Volume is bounded twice: lines about requests by a rate, whole requests kept
 * or left out, and all lines by what the reader of the output has not taken.
 * A reader that stops reading costs lines, never time.
 */
import * as stream from 'node:stream';
import * as winston from 'winston';
import type * as logger from './logger.js';

/** What is decided about a request. */
export type RequestEvent =
  /** An upstream was chosen for a try. */
  | 'request_placed'
  /** No upstream was chosen for a try. */
  | 'try_not_placed'
  /** A try ended without a usable answer. */
  | 'try_failed'
  /** A cheap model's answer was taken, or a more capable one runs. */
  | 'model_judged'
  /** A broken stream goes on at another upstream. */
  | 'stream_resumed'
  /** The final answer is an upstream's. */
  | 'request_answered'
  /** The final answer is the gateway's own. */
  | 'request_refused'
  /** The answer broke off after it had begun. */
  | 'answer_broken'
  /** The caller left before the final answer. */
  | 'caller_left';

/** What changes what the instance believes, and its life. */
export type InstanceEvent =
  | 'instance_started'
  /** A peer was asked at the start for what it knows of the store. */
  | 'seed_asked'
  | 'instance_serving'
  | 'instance_stopping'
  | 'instance_stopped'
  /** Another instance watches the store for this one, or none does. */
  | 'watch_source_changed'
  /** This instance begins or ceases to watch the store for others. */
  | 'watch_role_changed'
  | 'settings_reloaded'
  | 'settings_refused'
  | 'configuration_in_force'
  | 'configuration_refused'
  | 'configuration_unconfirmed'
  | 'configuration_confirmed'
  /** Upstreams came, changed, leave or are gone. */
  | 'upstreams_changed'
  /** Entries that vanish are kept for a while: they may have lapsed. */
  | 'lapse_suspected'
  /** The store is asked, since what is known is too old. */
  | 'store_asked'
  | 'upstream_rested'
  /** An upstream names how much it takes from all instances, or no longer. */
  | 'upstream_limited'
  | 'zones_out'
  | 'rollout_followed'
  | 'rollout_judged'
  | 'rollout_reported'
  | 'peer_heard'
  | 'peer_lost'
  /** A peer did not take a message, or gave an answer that is none. */
  | 'peer_message_refused'
  | 'store_lost'
  | 'store_regained'
  | 'log_lines_dropped'
  | 'internal_error';

/** Everything that is logged. */
export type LogEvent = RequestEvent | InstanceEvent;

/** Inputs and outcome of a decision; ages in milliseconds. */
export type Details = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** Settings of a log. */
export interface DecisionLogOptions {
  readonly instance: string;
  readonly level: logger.LogLevel;
  /** Where lines go; the process's standard output by default. */
  readonly output?: stream.Writable;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /**
   * Called for every event, logged or not. The reason is given for events of
   * requests alone, where it is one of few.
   */
  readonly onEvent?: (event: LogEvent, reason?: string) => void;
}

/**
 * Requests a second that are logged whole. At ten lines a request and some
 * 300 bytes a line that is 150 KB/s, and under a hundredth of a core.
 */
const SAMPLED_REQUESTS_PER_SECOND = 50;

/**
 * Lines a second about failed and refused requests beyond those that are
 * logged whole: a day on which everything fails must not fill the disk.
 */
const FAILURE_LINES_PER_SECOND = 100;

/** Bytes that the output's reader may be behind, half a megabyte. */
const MAX_BACKLOG_BYTES = 524_288;

/** Longest time between two lines that tell how many were dropped, in ms. */
const DROPPED_REPORT_INTERVAL_MS = 1_000;

const MS_PER_S = 1_000;

/** Tokens that come at a rate; at most a second's worth is saved up. */
class TokenBucket {
  private tokens: number;
  private lastMs: number;

  constructor(
    private readonly perSecond: number,
    nowMs: number,
  ) {
    this.tokens = perSecond;
    this.lastMs = nowMs;
  }

  take(nowMs: number): boolean {
    const refill = ((nowMs - this.lastMs) * this.perSecond) / MS_PER_S;
    this.tokens = Math.min(this.perSecond, this.tokens + refill);
    this.lastMs = nowMs;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens--;
    return true;
  }
}

/** Passes lines on while their reader keeps up, and drops them otherwise. */
const createBoundedOutput = (
  output: stream.Writable,
  onDrop: () => void,
): stream.Writable =>
  new stream.Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      if (output.writableLength > MAX_BACKLOG_BYTES) {
        onDrop();
      } else {
        output.write(line);
      }
      done();
    },
  });

/** Logs the decisions about one request. */
export interface RequestLog {
  /** A step on the way; logged for requests that are logged whole. */
  readonly step: (event: RequestEvent, details: Details) => void;
  /** An end that is no answer, or a bad one; logged for every request. */
  readonly failure: (event: RequestEvent, details: Details) => void;
}

/** The log of one instance. */
export class DecisionLog {
  private readonly lines: winston.Logger;
  private readonly requests: TokenBucket;
  private readonly failures: TokenBucket;
  private dropped = 0;
  private droppedReportedAtMs: number;

  constructor(private readonly options: DecisionLogOptions) {
    const now = options.now();
    this.requests = new TokenBucket(SAMPLED_REQUESTS_PER_SECOND, now);
    this.failures = new TokenBucket(FAILURE_LINES_PER_SECOND, now);
    this.droppedReportedAtMs = now;
    const output = options.output ?? process.stdout;
    this.lines = winston.createLogger({
      level: options.level,
      defaultMeta: {instance: options.instance},
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.json(),
      ),
      transports: [
        new winston.transports.Stream({
          stream: createBoundedOutput(output, () => {
            this.dropped++;
          }),
          eol: '\n',
        }),
      ],
    });
  }

  /** Logs a change of what the instance believes. */
  info(event: InstanceEvent, details: Details = {}): void {
    this.options.onEvent?.(event);
    this.write('info', event, details);
  }

  /** Logs something that the instance could not do. */
  warn(event: InstanceEvent, details: Details = {}): void {
    this.options.onEvent?.(event);
    this.write('warn', event, details);
  }

  /** The log of one request; decides once whether it is logged whole. */
  forRequest(id: string): RequestLog {
    const isSampled = this.requests.take(this.options.now());
    const count = (event: RequestEvent, {reason}: Details) =>
      this.options.onEvent?.(
        event,
        typeof reason === 'string' ? reason : undefined,
      );
    return {
      step: (event, details) => {
        count(event, details);
        if (isSampled) {
          this.write('info', event, {request: id, ...details});
        }
      },
      failure: (event, details) => {
        count(event, details);
        if (isSampled || this.failures.take(this.options.now())) {
          this.write('warn', event, {request: id, ...details});
        } else {
          this.dropped++;
        }
      },
    };
  }

  /** Tells how many lines were dropped, if any. */
  reportDroppedLines(): void {
    const now = this.options.now();
    if (
      this.dropped > 0 &&
      now - this.droppedReportedAtMs >= DROPPED_REPORT_INTERVAL_MS
    ) {
      const lines = this.dropped;
      this.dropped = 0;
      this.droppedReportedAtMs = now;
      this.write('warn', 'log_lines_dropped', {lines});
    }
  }

  private write(
    level: logger.LogLevel,
    event: LogEvent,
    details: Details,
  ): void {
    this.lines.log(level, event, details);
  }
}
