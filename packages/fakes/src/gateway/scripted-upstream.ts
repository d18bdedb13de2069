/**
 * Fake upstream whose answers are written to the socket by a test's script, so
 * that a test can reproduce any failure of a connection.
 */
import * as net from 'node:net';
import * as requestParser from './request-parser.js';

/** A request, and the socket on which the script answers it. */
export interface UpstreamExchange {
  readonly request: requestParser.ParsedRequest;
  readonly socket: net.Socket;
  /** Number of the request on its connection, from 1. */
  readonly numberOnConnection: number;
  /** Number of the request at this upstream, from 1. */
  readonly number: number;
}

/** Answers one request, or leaves it unanswered. */
export type UpstreamScript = (exchange: UpstreamExchange) => void;

/** A fake upstream, listening on 127.0.0.1 once started. */
export class ScriptedUpstream {
  /** Requests that arrived completely, in order. */
  readonly requests: requestParser.ParsedRequest[] = [];
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();
  /** Connections accepted so far. */
  connections = 0;
  /** Whether a new connection is reset at once. */
  resets: (socket: net.Socket) => boolean = () => false;

  constructor(public script: UpstreamScript) {
    this.server = net.createServer(socket => {
      this.accept(socket);
    });
  }

  /** Address as `ip:port` once started. */
  get address(): string {
    const {port} = this.server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Starts to listen, by default at a free port. */
  async start(port = 0): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  async stop(): Promise<void> {
    this.sockets.forEach(socket => socket.destroy());
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Ends as a process does that crashes: nothing is left of it at once. */
  crash(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.resetAndDestroy());
  }

  /**
   * Ends as a process does that is killed: its connections are closed in order.
   */
  exit(): void {
    this.server.close();
    this.closeConnections();
  }

  /** Closes all open connections in order. */
  closeConnections(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  /** Refuses new connections from now on; open ones live on. */
  refuseConnections(): void {
    this.server.close();
  }

  private accept(socket: net.Socket): void {
    this.connections++;
    if (this.resets(socket)) {
      socket.resetAndDestroy();
      return;
    }
    this.sockets.add(socket);
    const parser = new requestParser.RequestParser();
    let numberOnConnection = 0;
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', chunk => {
      for (const request of parser.push(chunk)) {
        this.requests.push(request);
        numberOnConnection++;
        const number = this.requests.length;
        this.script({request, socket, numberOnConnection, number});
      }
    });
  }
}
