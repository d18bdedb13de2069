/** Passes connections on to one address, and harms them as it is told. */
import * as net from 'node:net';

/**
 * What the proxy does with bytes.
 *
 * - `silent`: takes connections and passes nothing on, either way.
 * - `one_way`: passes on what comes in, and nothing of what comes back.
 * - `refusing`: resets every connection.
 */
export type ProxyMode = 'open' | 'delayed' | 'silent' | 'one_way' | 'refusing';

/** Delay of each piece of bytes in mode `delayed`, in milliseconds. */
const DELAY_MS = 120;

/** A proxy before one address. */
export class LoopbackProxy {
  mode: ProxyMode = 'open';
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

  /** @param target `host:port`. */
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
    const schedule = (act: () => void) => {
      // A cut loses what comes meanwhile; a delay keeps the order.
      if (!isOpen()) {
        return;
      }
      if (this.mode === 'delayed') {
        setTimeout(act, DELAY_MS);
      } else {
        act();
      }
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
