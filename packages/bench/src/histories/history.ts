/** Types of recorded histories: what happened to claims and bills in one run. */

/** What the caller of one attempt was told. */
export type AttemptResult =
  'answered' | 'replayed' | 'not_run' | 'unknown' | 'mismatch';

/** One event of a run; a history lists them in order. */
export type HistoryEvent =
  | {
      /** A request was sent to its upstream. */
      readonly type: 'sent';
      readonly atMs: number;
      readonly identity: string;
      readonly attempt: string;
      readonly instance: string;
      readonly idempotent: boolean;
    }
  | {
      /** A caller received the end of an answer, or a refusal. */
      readonly type: 'told';
      readonly atMs: number;
      readonly identity: string;
      readonly attempt: string;
      readonly instance: string;
      readonly told: AttemptResult;
    }
  | {
      /** The object API holds this bill at the end of the run. */
      readonly type: 'billed';
      readonly identity: string;
      readonly cost: number;
    }
  | {
      /**
       * A claim remains at the end of the run although its request was never
       * sent: its caller would get `unknown` for ever.
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

/** The recorded events of one run. */
export interface History {
  readonly seed: number;
  readonly events: readonly HistoryEvent[];
  /** Calls to the object API by operation. */
  readonly calls: Readonly<Record<string, number>>;
}

/** Names of the checks, each the guarantee that it checks. */
export type CheckName =
  | 'sent_at_most_once'
  | 'not_run_is_true'
  | 'replay_follows_answer'
  | 'answered_is_billed'
  | 'billed_once'
  | 'billed_was_sent'
  | 'void_is_freed';

/** A failed check, and the request that it failed for. */
export interface Violation {
  readonly check: CheckName;
  readonly identity: string;
  readonly message: string;
}
