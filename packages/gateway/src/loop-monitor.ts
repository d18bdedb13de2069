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
   * Resolves once all that had arrived before the call has been read, to the
   * time by the clock at which that reading ended.
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

/** One reading of all connections, for those that wait for it. */
interface Reading {
  /** When it ended; undefined before. */
  endedAtMs: number | undefined;
}

/** Watches the event loop while it is started. */
export class LoopMonitor implements LoopState {
  /** Undefined while it is not started. */
  private lateness: decisions.ReadLateness | undefined;
  private timer: NodeJS.Timeout | undefined;
  private reading: Reading | undefined;

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
      const lateMs = lateness.maxWaitMs(beatMs);
      this.options.onBeat(beatMs - lastMs, lateMs);
      lastMs = beatMs;
      if (lateMs > 0) {
        this.beatAfterTurn(lateness);
      }
    }, decisions.BEAT_INTERVAL_MS).unref();
  }

  /**
   * Records that a turn has ended. After a late one the next beat would come
   * some turns later, and what is read until then would count as old.
   */
  private beatAfterTurn(lateness: decisions.ReadLateness): void {
    setImmediate(() => {
      lateness.beat(this.options.clock.now());
    });
  }

  stop(): void {
    clearInterval(this.timer);
    this.lateness = undefined;
  }

  maxWaitMs(): number {
    return this.lateness?.maxWaitMs(this.options.clock.now()) ?? 0;
  }

  /** The same for what is read now or was there up to a second before. */
  recentMaxWaitMs(): number {
    return this.lateness?.recentMaxWaitMs(this.options.clock.now()) ?? 0;
  }

  /**
   * A turn of the loop reads from each connection once, and learns of its end
   * in the next turn. Of two immediates the second runs after a whole turn.
   */
  whenRead(): Promise<number> {
    return new Promise(resolve => {
      setImmediate(() => {
        const reading = this.joinReading();
        setImmediate(() => {
          this.reading = undefined;
          reading.endedAtMs ??= this.options.clock.now();
          resolve(reading.endedAtMs);
        });
      });
    });
  }

  /** The reading in the next turn, which all share that wait for it. */
  private joinReading(): Reading {
    this.reading ??= {endedAtMs: undefined};
    return this.reading;
  }
}
