/** Histories of concurrent runs of claims and bills. */

/** What a caller was told about one attempt. */
export type Told = 'answered' | 'replayed' | 'not_run' | 'unknown' | 'mismatch';

/** Something that happened at one moment of a run, in order. */
export type HistoryEvent =
  | {
      /** A request left for its upstream. */
      readonly type: 'sent';
      readonly atMs: number;
      readonly identity: string;
      readonly attempt: string;
      readonly instance: string;
      readonly idempotent: boolean;
    }
  | {
      /** A caller got the end of an answer, or a refusal. */
      readonly type: 'told';
      readonly atMs: number;
      readonly identity: string;
      readonly attempt: string;
      readonly instance: string;
      readonly told: Told;
    }
  | {
      /** A bill stands in the object API at the end of the run. */
      readonly type: 'billed';
      readonly identity: string;
      readonly cost: number;
    }
  | {
      /**
       * A claim stands at the end of a request that was never sent: its caller
       * gets `unknown` for ever, though nothing ran.
       */
      readonly type: 'orphaned';
      readonly identity: string;
      readonly ownerAlive: boolean;
    }
  | {
      readonly type: 'fault';
      readonly atMs: number;
      readonly fault: string;
    };

/** A recorded run. */
export interface History {
  readonly seed: number;
  readonly events: readonly HistoryEvent[];
  /** Calls to the object API by operation. */
  readonly calls: Readonly<Record<string, number>>;
}

/** The checks, named for what they hold the run to. */
export type CheckName =
  | 'sent_at_most_once'
  | 'not_run_is_true'
  | 'replay_follows_answer'
  | 'answered_is_billed'
  | 'billed_once'
  | 'billed_was_sent'
  | 'void_is_freed';

/** A check that a history breaks. */
export interface Violation {
  readonly check: CheckName;
  readonly identity: string;
  readonly message: string;
}
