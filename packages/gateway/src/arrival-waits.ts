/**
 * Bounds how long a request has waited before a server read it: unread on its
 * connection, or with its connection in the accept queue.
 */
import type * as net from 'node:net';
import type * as loopMonitor from './loop-monitor.js';

/**
 * Turns without a new connection after which the accept queue counts as empty
 * at the start: the first turn may end before the server listens. Later one is
 * enough, as a turn accepts a connection if there is one.
 */
const QUIET_TURNS_AT_START = 2;

/**
 * Turns in which what is read of a new connection may have come before it was
 * accepted.
 */
const FRESH_TURNS = 2;

/**
 * Longest wait in the accept queue that is counted beside a hold of the loop, in
 * milliseconds. Where one connection comes in each turn, the queue seems never
 * to be empty though none waits for long.
 */
const MAX_TURNS_MS = 500;

/**
 * Time after a hold of the loop in which connections from before it may lie in
 * the accept queue, in milliseconds. Callers whose connection isn't read for a
 * second leave.
 */
const HOLD_TTL_MS = 1_000;

/** A time in which the loop accepted nothing. */
interface Hold {
  readonly endedAtMs: number;
  readonly lengthMs: number;
}

/** Time below which a request counts as not having waited, in milliseconds. */
const MIN_WAIT_MS = 20;

/** What is known of the event loop that reads a server's connections. */
export type ReadingLoop = Pick<loopMonitor.LoopState, 'maxWaitMs'>;

/** What bounds the waits of one server's requests. */
export class ArrivalWaits {
  /** Earliest arrival of connections of which nothing has been read. */
  private readonly arrivals = new WeakMap<net.Socket, number>();
  /** Connections accepted in the last turns, by turn. */
  private recent: net.Socket[][] = [];
  /** Turns in a row without a new connection. */
  private quietTurns = 0;
  private hasAccepted = false;
  /** Since when the accept queue may hold connections, after `hold`. */
  private queuedSinceMs: number | undefined;
  /** The last hold since then, or before. */
  private hold: Hold = {endedAtMs: -Infinity, lengthMs: 0};

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
      const lateMs = this.loop.maxWaitMs();
      this.beginQueue(lateMs);
      this.hasAccepted = true;
      this.arrivals.set(socket, this.now() - this.findQueuedMs());
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

  /** Longest time for which a connection that is accepted now has waited. */
  private findQueuedMs(): number {
    const now = this.now();
    const {endedAtMs, lengthMs} = this.hold;
    const heldMs = now - endedAtMs <= HOLD_TTL_MS ? lengthMs : 0;
    const turnsMs = now - (this.queuedSinceMs ?? now);
    return heldMs + Math.min(turnsMs, MAX_TURNS_MS);
  }

  /** Begins a run of turns in which the accept queue may hold connections. */
  private beginQueue(lateMs: number): void {
    if (this.queuedSinceMs !== undefined && lateMs <= this.hold.lengthMs) {
      return;
    }
    this.hold = {endedAtMs: this.now(), lengthMs: lateMs};
    this.queuedSinceMs = this.now();
    this.quietTurns = 0;
    if (this.recent.length === 0) {
      this.beginTurn();
    }
  }

  private beginTurn(): void {
    this.recent.push([]);
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
    this.quietTurns = recent.at(-1)?.length === 0 ? this.quietTurns + 1 : 0;
    if (this.quietTurns >= (this.hasAccepted ? 1 : QUIET_TURNS_AT_START)) {
      this.queuedSinceMs = undefined;
    }
    if (recent.length > FRESH_TURNS) {
      recent.shift()?.forEach(socket => this.arrivals.delete(socket));
    }
    if (recent.every(accepted => accepted.length === 0)) {
      this.recent = this.queuedSinceMs === undefined ? [] : recent;
    }
    if (this.recent.length > 0) {
      this.beginTurn();
    }
  }
}
