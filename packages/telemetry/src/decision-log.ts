/**
 * Logs the decisions of one instance and changes of what it knows, as JSON
 * lines: what was decided, for which request, from which inputs, and how old
 * these were.
 *
 * Two bounds keep the volume in check. Lines about requests are limited by a
 * rate, so that a request is logged with all its steps or without any. All
 * lines are limited by the backlog of the output: if its reader stops, lines
 * are dropped and requests are not delayed.
 */
import * as stream from 'node:stream';
import * as winston from 'winston';
import type * as logger from './logger.js';

/** Decisions about a request, and how it ended. */
export type RequestEvent =
  /** An accepted request may have waited before it was read. */
  | 'request_waited'
  /** A body has more pieces than can be afforded, and is read more slowly. */
  | 'body_held'
  /** An upstream was chosen for an attempt. */
  | 'request_placed'
  /** An attempt goes to another instance, as this one reaches no upstream. */
  | 'request_forwarded'
  /** A request that another instance forwards was accepted. */
  | 'forward_accepted'
  /** No upstream could be chosen for an attempt. */
  | 'try_not_placed'
  /** An attempt ended without a usable answer. */
  | 'try_failed'
  /** An answer without a length has ended, and its upstream was checked. */
  | 'answer_end_checked'
  /** A cheap model's answer was accepted or escalated to a capable model. */
  | 'model_judged'
  /** A broken stream is resumed at another upstream. */
  | 'stream_resumed'
  /** The final answer came from an upstream. */
  | 'request_answered'
  /** The final answer is an error of the gateway. */
  | 'request_refused'
  /** The answer broke off after it had begun. */
  | 'answer_broken'
  /** The caller disconnected before the final answer. */
  | 'caller_left';

/** Changes of what the instance knows, and of its lifecycle. */
export type InstanceEvent =
  | 'instance_started'
  /** An address can't be opened now; it is tried again. */
  | 'address_unavailable'
  /** An address that is needed to serve can't be opened; the process ends. */
  | 'instance_start_failed'
  /** At the start, a peer was asked for its copy of the store's data. */
  | 'seed_asked'
  | 'instance_serving'
  /** The process got a signal to stop or to reload the settings. */
  | 'signal_received'
  | 'instance_stopping'
  /** A stopping instance refuses what comes and closes its connections. */
  | 'instance_closing'
  | 'instance_stopped'
  /** An error that nothing handled; the process leaves because of it. */
  | 'process_failing'
  /** Another instance now watches the store for this one, or none does. */
  | 'watch_source_changed'
  /** This instance started or stopped watching the store for others. */
  | 'watch_role_changed'
  | 'settings_reloaded'
  | 'settings_refused'
  | 'configuration_in_force'
  | 'configuration_refused'
  | 'configuration_unconfirmed'
  | 'configuration_confirmed'
  /** Upstreams were added, changed, are leaving or were removed. */
  | 'upstreams_changed'
  /** Vanished entries are kept for a while, as they may only have lapsed. */
  | 'lapse_suspected'
  /** The store was queried because the known data is too old. */
  | 'store_asked'
  | 'upstream_rested'
  /** An upstream ended while requests ran or waited there. */
  | 'upstream_ended'
  /** An upstream ended under a part of prompts that it had not answered. */
  | 'prompt_part_suspected'
  /** Requests with a part of prompts are kept away from upstreams. */
  | 'prompt_part_held'
  /** A part of prompts is not believed to harm upstreams any more. */
  | 'prompt_part_released'
  /** An upstream announced or lifted its limit for all instances together. */
  | 'upstream_limited'
  /** An upstream named, or withdrew, the refusals above which it fails. */
  | 'upstream_refusals_limited'
  /** An upstream asked this instance to send it nothing for a time. */
  | 'upstream_backoff'
  /** An upstream counts as cold from now on, and gets few requests. */
  | 'upstream_cold'
  /** It counts as cold no longer. */
  | 'upstream_warm'
  /** An upstream that was reported as away was not. */
  | 'absence_refuted'
  /** An upstream said in an answer that it is leaving. */
  | 'upstream_leaving'
  /** This instance reaches no upstream of a service any more. */
  | 'upstream_links_lost'
  /** It reaches an upstream of the service again. */
  | 'upstream_links_regained'
  | 'zones_out'
  | 'rollout_followed'
  | 'rollout_judged'
  | 'rollout_reported'
  | 'peer_heard'
  | 'peer_lost'
  /** A peer refused a message or gave an invalid answer. */
  | 'peer_message_refused'
  | 'peer_hold_bounded'
  | 'clock_gap'
  /** A turn of the event loop took long; what it read had waited as long. */
  | 'loop_late'
  | 'store_lost'
  | 'store_regained'
  | 'log_lines_dropped'
  | 'internal_error';

/** Event names of all log lines. */
export type LogEvent = RequestEvent | InstanceEvent;

/** Inputs and outcome of a decision; ages in milliseconds. */
export type Details = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

export interface DecisionLogOptions {
  readonly instance: string;
  readonly level: logger.LogLevel;
  /** Receives the lines; standard output by default. */
  readonly output?: stream.Writable;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /**
   * Called for every event, logged or not. `reason` is set only for events of
   * requests, where it is one of a few values.
   */
  readonly onEvent?: (event: LogEvent, reason?: string) => void;
}

/**
 * Requests per second that are logged with all their steps. At ten lines per
 * request and 300 bytes per line this is 150 KB/s, and less than 1% of a core.
 */
const SAMPLED_REQUESTS_PER_SECOND = 50;

/**
 * Lines per second about failed and refused requests that are not sampled.
 * Keeps the log from filling the disk when all requests fail for a day.
 */
const FAILURE_LINES_PER_SECOND = 100;

/** Unread bytes in the output above which lines are dropped. */
const MAX_BACKLOG_BYTES = 524_288;

/** Minimum time between two reports of dropped lines. */
const DROPPED_REPORT_INTERVAL_MS = 1_000;

const MS_PER_S = 1_000;

/** Token bucket that holds at most the tokens of one second. */
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

/**
 * Forwards lines to an output, and drops them while its backlog is full.
 *
 * @param onLine called for each line: whether it was written, or is lost because
 *     of the backlog or of an error of the output.
 */
const createBoundedOutput = (
  output: stream.Writable,
  onLine: (isWritten: boolean) => void,
): stream.Writable =>
  new stream.Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      if (output.writableLength > MAX_BACKLOG_BYTES) {
        onLine(false);
      } else {
        output.write(line, error => {
          onLine(!error);
        });
      }
      done();
    },
  });

/** Log of the decisions about one request. */
export interface RequestLog {
  /** Records an intermediate step; logged for sampled requests only. */
  readonly step: (event: RequestEvent, details: Details) => void;
  /**
   * Records a request or attempt that ended without a good answer. Logged for
   * sampled requests, and for others up to a rate.
   */
  readonly failure: (event: RequestEvent, details: Details) => void;
}

/** Writes the bounded log of one instance. */
export class DecisionLog {
  private readonly lines: winston.Logger;
  private readonly requests: TokenBucket;
  private readonly failures: TokenBucket;
  private dropped = 0;
  private droppedReportedAtMs: number;
  /** Whether the output took the last line that it was given. */
  private isWritable = true;

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
          stream: createBoundedOutput(output, isWritten => {
            this.isWritable = isWritten;
            this.dropped += isWritten ? 0 : 1;
          }),
          eol: '\n',
        }),
      ],
    });
  }

  /** Logs a change of what the instance knows, or of its lifecycle. */
  info(event: InstanceEvent, details: Details = {}): void {
    this.options.onEvent?.(event);
    this.write('info', event, details);
  }

  /** Logs a failure, or something that the instance could not do. */
  warn(event: InstanceEvent, details: Details = {}): void {
    this.options.onEvent?.(event);
    this.write('warn', event, details);
  }

  /** Logs what ends this process. */
  error(event: InstanceEvent, details: Details = {}): void {
    this.options.onEvent?.(event);
    this.write('error', event, details);
  }

  /** Creates the log of one request and decides whether it is sampled. */
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

  /**
   * Logs how many lines were dropped since the last report, if any. Waits until
   * the output takes lines again, as the report would be lost with its number.
   */
  reportDroppedLines(): void {
    const now = this.options.now();
    if (
      this.dropped > 0 &&
      this.isWritable &&
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
