/**
 * Relays the events of one answer to its caller, across fail-overs from one
 * upstream to the next. Incomplete events, gaps and repeats are not relayed.
 */
import type * as stream from 'node:stream';
import type * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import type * as answerEnds from './answer-ends.js';
import type * as callerAnswer from './caller-answer.js';
import * as eventSplitter from './event-splitter.js';
import type * as runContext from './run-context.js';
import type * as stallWatchdog from './stall-watchdog.js';
import type * as upstreamCall from './upstream-call.js';

/** An open stream from one upstream. */
export interface RelayedStream {
  readonly placed: runContext.PlacedAttempt;
  readonly answer: upstreamCall.UpstreamAnswer;
  /** Aborts this attempt only. */
  readonly abortController: AbortController;
}

/** Resolves to whether a stream that has ended is whole. */
export type ConfirmStreamEnd = (
  ended: answerEnds.EndedAnswer,
) => Promise<decisions.AnswerEnd>;

/** How the relay of one upstream's stream ended. */
export type RelayEnd = 'complete' | 'broken';

/** Relays the events of one request to its caller. */
export class EventRelay {
  private lastId: number | undefined;
  /**
   * Whether the caller has an event. An unframed stream without one ended with
   * its upstream.
   */
  private hasBegun: boolean;

  /**
   * @param initialLastEventId number of the last event that the caller already
   *     had when it sent the request.
   * @param signal aborts when the request ends early.
   * @param confirmEnd confirms the end of a stream that looks whole.
   */
  constructor(
    private readonly caller: callerAnswer.CallerAnswer,
    private readonly initialLastEventId: string | undefined,
    private readonly signal: AbortSignal,
    private readonly confirmEnd: ConfirmStreamEnd,
  ) {
    this.hasBegun = initialLastEventId !== undefined;
  }

  /** Number of the last event that was relayed; undefined before the first. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /**
   * Relays complete events as they arrive; resolves when the stream ends.
   *
   * @param watchdog stall watchdog; each event that is complete resets it.
   */
  run(
    {placed, answer, abortController}: RelayedStream,
    watchdog: stallWatchdog.StallWatchdog,
  ): Promise<RelayEnd> {
    const {body} = answer;
    const {signal} = this;
    const splitter = new eventSplitter.EventSplitter();
    return new Promise(resolve => {
      const abort = () => {
        abortController.abort('not_needed' satisfies runContext.AbortReason);
      };
      let hasFinished = false;
      const finish = (end: RelayEnd) => {
        // An error is followed by a close.
        if (hasFinished) {
          return;
        }
        hasFinished = true;
        watchdog.stop();
        const isAborted = signal.aborted || abortController.signal.aborted;
        const whenChecked =
          end === 'broken' && !isAborted
            ? placed.recordBreak()
            : Promise.resolve();
        const outcome = signal.aborted ? 'cancelled' : 'failed';
        placed.settle(end === 'complete' ? 'answered' : outcome);
        void whenChecked.then(() => {
          resolve(end);
        });
      };
      let isInOrder = true;
      let bytes = 0;
      body.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        // Nothing after a gap is relayed, not even the end of the stream.
        if (isInOrder) {
          const events = splitter.push(chunk);
          // Bytes that end no event are no sign of life for the caller.
          if (events.length > 0) {
            watchdog.reset();
          }
          // An empty event costs as much as one of some tokens.
          ports.countPieces(body, events.length);
          events.forEach(() => {
            placed.recordEvent();
          });
          isInOrder = this.forward(events);
        }
        if (!isInOrder || splitter.isOverlong) {
          abort();
        } else if (this.caller.isBehind) {
          this.pauseUntilRead(body, watchdog);
        }
      });
      const confirm = async (): Promise<void> => {
        const end = await this.confirmEnd({placed, answer, bytes, signal});
        finish(end === 'whole' ? 'complete' : 'broken');
      };
      let hasEnded = false;
      const finishUnlessEnded = () => {
        if (!hasEnded) {
          finish('broken');
        }
      };
      body.once('end', () => {
        hasEnded = true;
        watchdog.stop();
        const looksWhole =
          isInOrder &&
          (answer.framing !== 'connection' || this.hasBegun) &&
          body.complete &&
          !answer.isBroken() &&
          splitter.pendingBytes === 0;
        if (looksWhole) {
          void confirm();
        } else {
          finish('broken');
        }
      });
      body.once('error', finishUnlessEnded);
      body.once('close', finishUnlessEnded);
    });
  }

  /**
   * Guards against callers who don't read and fill the memory. The silence of
   * an upstream that isn't read is not its stall.
   */
  private pauseUntilRead(
    body: stream.Readable,
    watchdog: stallWatchdog.StallWatchdog,
  ): void {
    body.pause();
    watchdog.hold();
    this.caller.onceRead(() => {
      watchdog.reset();
      body.resume();
    });
  }

  /**
   * Relays events up to the first whose number does not follow the previous one;
   * false if there is one. A gap or a repeat would reach the caller in a stream
   * that looks complete.
   */
  private forward(events: readonly eventSplitter.StreamEvent[]): boolean {
    const gapAt = events.findIndex(event => !this.follows(event));
    const inOrder = gapAt === -1 ? events : events.slice(0, gapAt);
    const [first] = inOrder;
    if (first) {
      this.hasBegun = true;
      const pieces = inOrder.map(({bytes}) => bytes);
      this.caller.write(
        pieces.length === 1 ? first.bytes : Buffer.concat(pieces),
      );
    }
    return gapAt === -1;
  }

  /** Whether an event follows the last one, which it then is. */
  private follows({id}: eventSplitter.StreamEvent): boolean {
    if (id === undefined) {
      return true;
    }
    const previous = this.lastId ?? Number(this.initialLastEventId ?? 0);
    if (id !== previous + 1) {
      return false;
    }
    this.lastId = id;
    return true;
  }
}
