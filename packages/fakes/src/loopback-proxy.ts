/** TCP proxy for one address that injects network faults, for all or one client. */
import * as net from 'node:net';
import * as ports from '@amaranthknot/ports';

/**
 * Mode of the proxy.
 *
 * - `open`: forwards everything.
 * - `delayed`: forwards each chunk after a delay.
 * - `silent`: accepts connections and forwards nothing in either direction.
 * - `one_way`: forwards from client to target, and nothing back.
 * - `refusing`: resets each new connection; open ones live on.
 */
export type ProxyMode = 'open' | 'delayed' | 'silent' | 'one_way' | 'refusing';

/** Delay of each chunk in mode `delayed`, in milliseconds. */
const DELAY_MS = 120;

/** A proxy on 127.0.0.1 before one target. */
export class LoopbackProxy {
  mode: ProxyMode = 'open';
  /** Mode for clients at some source addresses, in place of `mode`. */
  private readonly modeBySource = new Map<string, ProxyMode>();
  private readonly server: net.Server;
  /** Open sockets, with the source address of their client. */
  private readonly sockets = new Map<net.Socket, string>();

  /** @param target address as `host:port`. */
  constructor(private readonly target: string) {
    this.server = net.createServer(socket => {
      this.accept(socket);
    });
  }

  /** `host:port` once started. */
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

  /** Refuses new connections from now on; open ones live on. */
  refuseConnections(): void {
    this.server.close();
  }

  /** Closes all open connections in order. */
  closeConnections(): void {
    [...this.sockets.keys()].forEach(socket => socket.destroy());
  }

  async stop(): Promise<void> {
    this.resetAll();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Sets the mode for clients at a source address; undefined: as for all. */
  setModeOf(source: string, mode: ProxyMode | undefined): void {
    if (mode) {
      this.modeBySource.set(source, mode);
    } else {
      this.modeBySource.delete(source);
    }
  }

  /** Resets all open connections, or those of clients at a source address. */
  resetAll(source?: string): void {
    for (const [socket, client] of this.sockets) {
      if (source === undefined || client === source) {
        socket.resetAndDestroy();
      }
    }
  }

  /**
   * Source address of the client whose connection reaches the target from a
   * local port.
   */
  findSource(port: number | undefined): string | undefined {
    const found = [...this.sockets].find(
      ([socket]) => socket.localPort === port,
    );
    return found?.[1];
  }

  private findMode(source: string): ProxyMode {
    return this.modeBySource.get(source) ?? this.mode;
  }

  private accept(client: net.Socket): void {
    const source = client.remoteAddress ?? '';
    this.track(client, source);
    if (this.findMode(source) === 'refusing') {
      client.resetAndDestroy();
      return;
    }
    const [host = '', port = ''] = this.target.split(':');
    const target = net.connect(Number(port), host);
    this.track(target, source);
    const isSilent = () => this.findMode(source) === 'silent';
    const isDelayed = () => this.findMode(source) === 'delayed';
    this.forward(client, target, () => !isSilent(), isDelayed);
    this.forward(
      target,
      client,
      () => !isSilent() && this.findMode(source) !== 'one_way',
      isDelayed,
    );
  }

  private forward(
    from: net.Socket,
    to: net.Socket,
    isOpen: () => boolean,
    isDelayed: () => boolean,
  ): void {
    const delayed: (() => void)[] = [];
    let lastDueMs = -Infinity;
    const schedule = (action: () => void) => {
      // Data that arrives in a cut is lost.
      if (!isOpen()) {
        return;
      }
      const nowMs = performance.now();
      const delayMs = isDelayed() ? DELAY_MS : 0;
      const dueMs = Math.max(lastDueMs, nowMs + delayMs);
      if (delayed.length === 0 && dueMs === nowMs) {
        action();
        return;
      }
      // Also keeps the order when a delay ends, as a connection does.
      lastDueMs = dueMs;
      delayed.push(action);
      setTimeout(() => delayed.shift()?.(), dueMs - nowMs);
    };
    from.on('data', (chunk: Buffer) => {
      schedule(() => !to.destroyed && to.write(chunk));
    });
    // A reset that comes with the last bytes is reported as an end in order.
    const wasReset = ports.watchForReset(from);
    from.on('end', () => {
      if (!wasReset()) {
        schedule(() => to.end());
      }
    });
    from.on('close', () => {
      if (from.errored || wasReset()) {
        to.resetAndDestroy();
      } else {
        schedule(() => {
          to.destroySoon();
        });
      }
    });
  }

  private track(socket: net.Socket, source: string): void {
    this.sockets.set(socket, source);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
  }
}
