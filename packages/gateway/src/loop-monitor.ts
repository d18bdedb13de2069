/** Watches how late the event loop of this process reads its input. */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';

/** What decisions need to know of the event loop. */
export interface LoopState {
  /**
   * Longest time for which what is read now may have waited unread, in
   * milliseconds; 0 while the loop is on time.
   */
  readonly maxWaitMs: () => number;
  /**
   * Resolves once all that had arrived before the call has been read, to a time
   * by the clock: what arrived before that time has been read.
   */
  readonly whenRead: () => Promise<number>;
}

/** What a `LoopMonitor` needs. */
export interface LoopMonitorOptions {
  readonly clock: Pick<ports.Clock, 'now'>;
  /**
   * Called at each beat.
   *
   * @param turnMs time since the beat before, in milliseconds.
   * @param lateMs how late what is read now may be; 0 while on time.
   */
  readonly onBeat: (turnMs: number, lateMs: number) => void;
}

/** Watches the event loop while it is started. */
export class LoopMonitor implements LoopState {
  /** Undefined while it is not started. */
  private lateness: decisions.ReadLateness | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LoopMonitorOptions) {}

  /** Starts to watch; does not keep the process alive. */
  start(): void {
    const now = this.options.clock.now();
    const lateness = new decisions.ReadLateness(now);
    let lastMs = now;
    this.lateness = lateness;
    this.timer = setInterval(() => {
      const beatMs = this.options.clock.now();
      lateness.beat(beatMs);
      this.options.onBeat(beatMs - lastMs, lateness.maxWaitMs(beatMs));
      lastMs = beatMs;
    }, decisions.BEAT_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this.timer);
    this.lateness = undefined;
  }

  maxWaitMs(): number {
    return this.lateness?.maxWaitMs(this.options.clock.now()) ?? 0;
  }

  /**
   * A turn of the loop reads from each connection once, and learns of its end
   * in the next turn. Of two immediates the second runs after a whole turn.
   */
  whenRead(): Promise<number> {
    return new Promise(resolve => {
      setImmediate(() => {
        const readFromMs = this.options.clock.now();
        setImmediate(() => {
          resolve(readFromMs);
        });
      });
    });
  }
}
