/** Keeps the latest events of one process for the time line. */
import * as hybridClock from './hybrid-clock.js';

/** Names of events; they leave the process in JSON. */
export type EventName =
  | 'instance_started'
  | 'instance_leaving'
  | 'instance_stopped'
  | 'process_failing'
  | 'configuration_in_force'
  | 'configuration_unconfirmed'
  | 'peer_joined'
  | 'peer_lost'
  | 'lease_acquired'
  | 'lease_lost'
  | 'request_received'
  | 'request_queued'
  | 'request_refused'
  | 'stage_started'
  | 'stage_answered'
  | 'stage_escalated'
  | 'stream_resumed'
  | 'upstream_failed'
  | 'upstream_cold'
  | 'upstream_backoff'
  | 'answer_discarded'
  | 'claim_granted'
  | 'claim_repeated'
  | 'claim_refused'
  | 'answer_given'
  | 'answer_unknown'
  | 'request_cancelled'
  | 'bill_recorded'
  | 'bills_recovered'
  | 'rollout_step'
  | 'rollout_stopped'
  | 'zone_changed'
  | 'platform_unavailable'
  | 'platform_available';

/** What an event is about. The fields can be filtered by. */
export interface Subject {
  readonly request?: string;
  readonly workspace?: string;
  readonly model?: string;
  readonly version?: string;
  readonly upstream?: string;
  readonly zone?: string;
  readonly detail?: string;
}

/** One event, numbered per process in the order of recording. */
export interface TimelineEvent extends Subject {
  readonly name: EventName;
  readonly instance: string;
  readonly sequence: number;
  readonly stamp: hybridClock.Timestamp;
}

/** Events kept per process; the oldest are overwritten first. */
export const DEFAULT_RING_SIZE = 10_000;

/** Ring buffer of the events of one process. */
export class EventRing {
  private readonly events: TimelineEvent[] = [];
  private sequence = 0;

  constructor(
    readonly instance: string,
    private readonly clock: hybridClock.HybridClock,
    private readonly size = DEFAULT_RING_SIZE,
  ) {}

  /** Appends an event with the next timestamp, overwriting the oldest. */
  record(name: EventName, subject: Subject = {}): void {
    this.events[this.sequence % this.size] = {
      name,
      instance: this.instance,
      sequence: this.sequence,
      stamp: this.clock.next(),
      ...subject,
    };
    this.sequence++;
  }

  /** Returns up to `limit` events after `afterSequence`, oldest first. */
  read(afterSequence = -1, limit = this.size): readonly TimelineEvent[] {
    const oldest = Math.max(0, this.sequence - this.size, afterSequence + 1);
    const end = Math.min(this.sequence, oldest + limit);
    const found: TimelineEvent[] = [];
    for (let i = oldest; i < end; i++) {
      const event = this.events[i % this.size];
      if (event) {
        found.push(event);
      }
    }
    return found;
  }
}
