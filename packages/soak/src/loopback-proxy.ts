/** TCP proxy for one address that injects network faults. */
import * as net from 'node:net';

/**
 * Mode of the proxy.
 *
 * - `open`: forwards everything.
 * - `delayed`: forwards each chunk after a delay.
 * - `silent`: accepts connections and forwards nothing in either direction.
 * - `one_way`: forwards from client to target, and nothing back.
 * - `refusing`: resets each new connection.
 */
export type ProxyMode = 'open' | 'delayed' | 'silent' | 'one_way' | 'refusing';

/** Delay of each chunk in mode `delayed`, in milliseconds. */
const DELAY_MS = 120;

/** A proxy on 127.0.0.1 before one target. */
export class LoopbackProxy {
  mode: ProxyMode = 'open';
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

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

  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  async stop(): Promise<void> {
    this.resetAll();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Resets all open connections. */
  resetAll(): void {
    this.sockets.forEach(socket => socket.resetAndDestroy());
  }

  private accept(client: net.Socket): void {
    this.track(client);
    if (this.mode === 'refusing') {
      client.resetAndDestroy();
      return;
    }
    const [host = '', port = ''] = this.target.split(':');
    const target = net.connect(Number(port), host);
    this.track(target);
    this.forward(client, target, () => this.mode !== 'silent');
    this.forward(target, client, () => {
      return this.mode !== 'silent' && this.mode !== 'one_way';
    });
  }

  private forward(
    from: net.Socket,
    to: net.Socket,
    isOpen: () => boolean,
  ): void {
    const delayed: (() => void)[] = [];
    let lastDueMs = -Infinity;
    const schedule = (action: () => void) => {
      // Data that arrives in a cut is lost.
      if (!isOpen()) {
        return;
      }
      const nowMs = performance.now();
      const delayMs = this.mode === 'delayed' ? DELAY_MS : 0;
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
    from.on('end', () => {
      schedule(() => to.end());
    });
    from.on('close', () => {
      if (from.errored) {
        to.resetAndDestroy();
      } else {
        to.destroySoon();
      }
    });
  }

  private track(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
  }
}
