/**
 * The connections of one HTTP server, and their end.
 *
 * Guards against answers that are lost with their connection: closing a socket
 * of which not everything was read resets it, and a reset takes with it what
 * the peer has not read yet. So a connection is half-closed first, and what
 * still comes is read and discarded until the peer closes it too.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as exchangeOrder from './exchange-order.js';

/**
 * Longest time for which a half-closed connection is read, in milliseconds: the
 * peer's end comes within a round trip of its reading the answer.
 */
const LINGER_MS = 1_000;

/**
 * The same for a connection on which no answer was sent lately, in milliseconds.
 * Pools of callers may keep it until they need it again.
 */
const IDLE_LINGER_MS = 100;

/** Time in which a peer has read an answer, in milliseconds. */
const ANSWER_READ_MS = 500;

/**
 * Time after which a connection counts as idle on which nothing was read yet, in
 * milliseconds: callers open it for a request that comes right behind.
 */
const FRESH_MS = 100;

interface Connection {
  readonly openedAtMs: number;
  /** Requests that were read and whose answers have not ended. */
  inProgress: number;
  newest: http.ServerResponse | undefined;
  /** Responses that have not ended. */
  readonly responses: Set<http.ServerResponse>;
  /** Bytes read by the end of the last answer. */
  readBytes: number;
  answeredAtMs: number;
  /** Ends the reading; set once the connection is half-closed. */
  lingerTimer: NodeJS.Timeout | undefined;
}

/** Resolves once all has been read that had arrived before the call. */
export type WhenRead = () => Promise<unknown>;

/** A turn of the event loop reads from each connection once. */
const readTurn: WhenRead = () =>
  new Promise(resolve => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });

/**
 * Closes the responses that wait for the end of an earlier one on a connection
 * that is closed.
 *
 * Guards against what a request holds until its response closes, and a run that
 * goes on for a caller who has left: `node:http` closes the first only.
 */
const closeWaiting = ({responses}: Connection): void => {
  for (const response of [...responses]) {
    if (!response.socket && !response.destroyed) {
      response.destroy();
      response.emit('close');
    }
  }
};

/** Keeps the connections of one server. */
export class ServerConnections {
  private readonly open = new Map<net.Socket, Connection>();
  private cutSoFar = 0;

  constructor(
    private readonly whenRead: WhenRead = readTurn,
    /** Monotonic time in milliseconds. */
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Number of open connections, with those that are half-closed. */
  get size(): number {
    return this.open.size;
  }

  /** Watches a server that has accepted no connection yet. */
  watch(server: http.Server): void {
    server.on('connection', (socket: net.Socket) => {
      this.add(socket);
    });
    server.on('timeout', (socket: net.Socket) => {
      void this.endIfIdle(socket);
    });
  }

  /**
   * Records that the head of a request was read; returns false if it can get no
   * answer any more, as it crossed the end of its connection.
   */
  begin(message: http.IncomingMessage, response: http.ServerResponse): boolean {
    const {socket} = message;
    const connection = this.open.get(socket);
    const isAnswerable =
      connection !== undefined &&
      connection.lingerTimer === undefined &&
      exchangeOrder.recordExchange(socket, response);
    if (!isAnswerable) {
      message.resume();
      return false;
    }
    connection.inProgress++;
    connection.newest = response;
    connection.responses.add(response);
    response.once('close', () => {
      connection.responses.delete(response);
      connection.inProgress--;
      connection.readBytes = socket.bytesRead;
      connection.answeredAtMs = this.now();
    });
    return true;
  }

  /** Whether the connection is half-closed, or closed. */
  isEnding(socket: net.Socket): boolean {
    return this.open.get(socket)?.lingerTimer !== undefined;
  }

  /** Half-closes a connection after `last`, and discards what still comes. */
  end(socket: net.Socket, last = ''): void {
    const connection = this.open.get(socket);
    if (!connection) {
      socket.destroy();
      return;
    }
    if (connection.lingerTimer) {
      return;
    }
    const isAnswered =
      last !== '' ||
      connection.inProgress > 0 ||
      this.now() - connection.answeredAtMs < ANSWER_READ_MS;
    connection.lingerTimer = setTimeout(
      () => {
        socket.destroy();
      },
      isAnswered ? LINGER_MS : IDLE_LINGER_MS,
    ).unref();
    socket.end(last);
  }

  /**
   * Half-closes all connections that wait for no answer.
   *
   * @param mayBegin whether those are left on which a request seems to begin.
   */
  endIdle(mayBegin: boolean): void {
    for (const [socket, connection] of this.open) {
      const {inProgress, lingerTimer} = connection;
      const isLeft = mayBegin && this.seemsToBegin(socket, connection);
      if (!lingerTimer && inProgress === 0 && !isLeft) {
        this.end(socket);
      }
    }
  }

  /** Number of connections that `cut` has closed. */
  get cutCount(): number {
    return this.cutSoFar;
  }

  /** Closes all connections. A partial answer does not look complete. */
  cut(): void {
    this.cutSoFar += this.open.size;
    for (const [socket, {inProgress, newest}] of this.open) {
      if (inProgress > 0 && newest?.headersSent && !newest.chunkedEncoding) {
        socket.resetAndDestroy();
      } else {
        socket.destroy();
      }
    }
  }

  private add(socket: net.Socket): void {
    const connection: Connection = {
      openedAtMs: this.now(),
      inProgress: 0,
      newest: undefined,
      responses: new Set(),
      readBytes: 0,
      answeredAtMs: -Infinity,
      lingerTimer: undefined,
    };
    this.open.set(socket, connection);
    socket.once('close', () => {
      clearTimeout(connection.lingerTimer);
      this.open.delete(socket);
      closeWaiting(connection);
    });
    // `node:http` calls it after the last answer on a connection.
    socket.destroySoon = () => {
      this.end(socket);
    };
  }

  private seemsToBegin(
    {bytesRead}: net.Socket,
    {readBytes, openedAtMs}: Connection,
  ): boolean {
    const isFresh = bytesRead === 0 && this.now() - openedAtMs < FRESH_MS;
    // More bytes may be a part of a head.
    return isFresh || bytesRead !== readBytes;
  }

  /**
   * Ends a connection whose idle time is over.
   *
   * Guards against callers who use a connection in time and find it closed,
   * because the timer of the idle time runs before the reading.
   */
  private async endIfIdle(socket: net.Socket): Promise<void> {
    const connection = this.open.get(socket);
    const {bytesRead} = socket;
    if (!connection || connection.inProgress > 0) {
      return;
    }
    await this.whenRead();
    if (connection.inProgress === 0 && socket.bytesRead === bytesRead) {
      this.end(socket);
    }
  }
}
