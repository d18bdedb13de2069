/** Passes the events of one answer on, from one upstream after the other. */
import type * as callerAnswer from './caller-answer.js';
import * as eventSplitter from './event-splitter.js';
import type * as runContext from './run-context.js';
import type * as stallWatchdog from './stall-watchdog.js';
import type * as upstreamCall from './upstream-call.js';

/** A stream of one upstream. */
export interface RelayedStream {
  readonly placed: runContext.PlacedAttempt;
  readonly answer: upstreamCall.UpstreamAnswer;
  /** Ends this try alone. */
  readonly abortController: AbortController;
}

/** How the passing on of one upstream's stream ended. */
export type RelayEnd = 'complete' | 'broken';

/** Passes events on to one caller. */
export class EventRelay {
  private lastId: number | undefined;

  /**
   * @param initialLastEventId number of the last event that the caller had before.
   * @param signal aborts when nobody waits any longer.
   */
  constructor(
    private readonly caller: callerAnswer.CallerAnswer,
    private readonly initialLastEventId: string | undefined,
    private readonly signal: AbortSignal,
  ) {}

  /** Number of the last event that was passed on. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /**
   * Passes events on as they arrive, whole ones only.
   *
   * @param watchdog watches for silence; it is touched by each part that comes.
   */
  run(
    {placed, answer, abortController}: RelayedStream,
    watchdog: stallWatchdog.StallWatchdog,
  ): Promise<RelayEnd> {
    const {body} = answer;
    const {signal} = this;
    const splitter = new eventSplitter.EventSplitter();
    return new Promise(resolve => {
      const giveUp = () => {
        abortController.abort('not_needed' satisfies runContext.AbortReason);
      };
      const finish = (end: RelayEnd) => {
        watchdog.stop();
        const outcome = signal.aborted ? 'cancelled' : 'failed';
        placed.settle(end === 'complete' ? 'answered' : outcome);
        resolve(end);
      };
      let isInOrder = true;
      body.on('data', (chunk: Buffer) => {
        watchdog.reset();
        // What follows a gap is not passed on, be it the stream's end.
        isInOrder &&= splitter.push(chunk).every(event => {
          placed.recordEvent();
          return this.forward(event);
        });
        if (!isInOrder || splitter.isOverlong) {
          giveUp();
        }
      });
      body.once('end', () => {
        const isWhole =
          isInOrder &&
          body.complete &&
          !answer.isBroken() &&
          splitter.pendingBytes === 0;
        finish(isWhole ? 'complete' : 'broken');
      });
      body.once('error', () => {
        finish('broken');
      });
      body.once('close', () => {
        finish('broken');
      });
    });
  }

  /**
   * Passes one event on; false where it does not follow the one before. A
   * gap or a repeat would reach the caller as a stream that looks whole.
   */
  private forward({id, bytes}: eventSplitter.StreamEvent): boolean {
    if (id !== undefined) {
      const before = this.lastId ?? Number(this.initialLastEventId ?? 0);
      if (id !== before + 1) {
        return false;
      }
      this.lastId = id;
    }
    this.caller.write(bytes);
    return true;
  }
}
