/** Passes the events of one answer on, from one upstream after the other. */
import type * as callerAnswer from './caller-answer.js';
import * as eventSplitter from './event-splitter.js';
import type * as gatewayParts from './gateway-parts.js';
import type * as silenceWatch from './silence-watch.js';
import type * as upstreamCall from './upstream-call.js';

/** A stream of one upstream. */
export interface RelayedStream {
  readonly placed: gatewayParts.PlacedTry;
  readonly answer: upstreamCall.UpstreamAnswer;
  /** Ends this try alone. */
  readonly ending: AbortController;
}

/** How the passing on of one upstream's stream ended. */
export type RelayEnd = 'complete' | 'broken';

/** Passes events on to one caller. */
export class EventRelay {
  private lastId: number | undefined;

  /**
   * @param firstEventId number of the last event that the caller had before.
   * @param signal aborts when nobody waits any longer.
   */
  constructor(
    private readonly caller: callerAnswer.CallerAnswer,
    private readonly firstEventId: string | undefined,
    private readonly signal: AbortSignal,
  ) {}

  /** Number of the last event that was passed on. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /**
   * Passes events on as they arrive, whole ones only.
   *
   * @param stall watches for silence; it is touched by each part that comes.
   */
  run(
    {placed, answer, ending}: RelayedStream,
    stall: silenceWatch.SilenceWatch,
  ): Promise<RelayEnd> {
    const {body} = answer;
    const {signal} = this;
    const splitter = new eventSplitter.EventSplitter();
    return new Promise(resolve => {
      const giveUp = () => {
        ending.abort('not_needed' satisfies gatewayParts.RunEnd);
      };
      const finish = (end: RelayEnd) => {
        stall.stop();
        const outcome = signal.aborted ? 'cancelled' : 'failed';
        placed.settle(end === 'complete' ? 'answered' : outcome);
        resolve(end);
      };
      let isInOrder = true;
      body.on('data', (chunk: Buffer) => {
        stall.touch();
        // What follows a gap is not passed on, be it the stream's end.
        isInOrder &&= splitter.push(chunk).every(event => {
          placed.passed();
          return this.passOn(event);
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
  private passOn({id, bytes}: eventSplitter.StreamEvent): boolean {
    if (id !== undefined) {
      const before = this.lastId ?? Number(this.firstEventId ?? 0);
      if (id !== before + 1) {
        return false;
      }
      this.lastId = id;
    }
    this.caller.write(bytes);
    return true;
  }
}
