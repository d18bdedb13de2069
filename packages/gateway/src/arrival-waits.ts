/**
 * Bounds how long a request has waited before a server read it: unread on its
 * connection, or with its connection in the accept queue.
 */
import type * as net from 'node:net';
import type * as loopMonitor from './loop-monitor.js';

/**
 * Turns of the event loop without a new connection after which the accept queue
 * is known to have been empty. A turn accepts one connection.
 */
const QUIET_TURNS = 2;

/** Time below which a request counts as not having waited, in milliseconds. */
const MIN_WAIT_MS = 20;

/** What is known of the event loop that reads a server's connections. */
export type ReadingLoop = Pick<loopMonitor.LoopState, 'maxWaitMs'>;

/** What bounds the waits of one server's requests. */
export class ArrivalWaits {
  /** Earliest arrival of connections of which nothing has been read. */
  private readonly arrivals = new WeakMap<net.Socket, number>();
  /** Connections accepted in the last `QUIET_TURNS` turns, by turn. */
  private recent: net.Socket[][] = [];
  /** Earliest arrival in the accept queue; undefined while it is empty. */
  private queuedSinceMs: number | undefined;

  /** @param loop the event loop that reads the connections. */
  constructor(
    private readonly loop: ReadingLoop,
    /** Monotonic time in milliseconds. */
    private readonly now: () => number = () => performance.now(),
  ) {}

  /**
   * Watches the connections that a server accepts. Call it when the server is
   * about to accept the first one.
   *
   * @param waitedMs time for which connections have been waiting already.
   */
  watch(server: net.Server, waitedMs = 0): void {
    this.beginQueue(waitedMs);
    server.on('connection', (socket: net.Socket) => {
      this.beginQueue(this.loop.maxWaitMs());
      this.arrivals.set(socket, this.queuedSinceMs ?? this.now());
      this.recent.at(-1)?.push(socket);
    });
  }

  /**
   * Longest time for which the request may have waited whose head has just been
   * read from `socket`, in milliseconds.
   */
  findWaitMs(socket: net.Socket): number {
    const arrivedAtMs = this.arrivals.get(socket);
    const queuedMs = arrivedAtMs === undefined ? 0 : this.now() - arrivedAtMs;
    const waitMs = Math.max(queuedMs, this.loop.maxWaitMs());
    return waitMs < MIN_WAIT_MS ? 0 : waitMs;
  }

  /** Begins a run of turns in which the accept queue may hold connections. */
  private beginQueue(waitedMs: number): void {
    if (this.queuedSinceMs !== undefined) {
      return;
    }
    this.queuedSinceMs = this.now() - waitedMs;
    this.recent = [[]];
    setImmediate(() => {
      this.endTurn();
    });
  }

  /**
   * Ends a turn: what is read from now on of connections of earlier turns has
   * arrived since they were accepted.
   */
  private endTurn(): void {
    const {recent} = this;
    if (recent.length > QUIET_TURNS) {
      recent.shift()?.forEach(socket => this.arrivals.delete(socket));
    }
    if (recent.every(accepted => accepted.length === 0) && recent.length > 1) {
      this.queuedSinceMs = undefined;
      return;
    }
    recent.push([]);
    setImmediate(() => {
      this.endTurn();
    });
  }
}
