/** What one caller saw of one request to a process. */
import type * as answerParser from './answer-parser.js';
import type * as processLife from '../process-life.js';

/** Kinds of request; `large` has as long a body as the limit allows. */
export type WorkKind = 'read' | 'book' | 'stream' | 'large';

/** How a request ended for its caller. */
export type RequestOutcome = 'whole' | 'closed' | 'silent';

/** One request; times are on the soak's clock. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: WorkKind;
  /** The process that its connection was opened to. */
  readonly life: processLife.ProcessLife;
  /** When its last byte was given to the kernel; undefined if it never was. */
  readonly writtenAtMs: number | undefined;
  readonly endedAtMs: number;
  readonly outcome: RequestOutcome;
  /** Undefined unless it was whole. */
  readonly answer: answerParser.Answer | undefined;
}

/** One run of a request at an upstream. */
export interface WorkRun {
  readonly id: string;
  readonly startedAtMs: number;
  /** Undefined while it is at work. */
  endedAtMs: number | undefined;
}
