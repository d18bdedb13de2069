/** Kills the processes of upstreams while they answer. */
import type * as fakes from '@amaranthknot/fakes';
import type * as ports from '@amaranthknot/ports';
import type * as checkNotices from './check-notices.js';
import * as crashFaults from './crash-faults.js';

/** A server with a proxy before it. */
export interface UpstreamServer {
  readonly server: fakes.ScriptedUpstream;
  readonly proxy: fakes.LoopbackProxy;
}

/** An upstream whose process can be killed, and replaced by another one. */
export interface KillableUpstream {
  readonly id: string;
  readonly current: UpstreamServer;
  /** Starts another process of it, at a free port if the port is 0. */
  readonly start: (port: number) => Promise<void>;
  /** Writes the entry of the new process under a new id. */
  readonly register: () => Promise<void>;
  /** Removes the entry of the killed process. */
  readonly unregister: () => Promise<void>;
}

/** What these faults need. */
export interface KillFaultsOptions {
  readonly clock: ports.Clock;
  /** Addresses of all instances for callers. */
  readonly instances: () => readonly string[];
}

/**
 * Time around a kill in which an answer may be lost, in milliseconds: that of
 * the check after its end, on a busy machine.
 */
const MARGIN_MS = 500;

/** Closes the connections of a process that was killed, as its kernel does. */
const closeInOrder = ({server, proxy}: UpstreamServer): void => {
  proxy.closeConnections();
  server.exit();
};

/** Injects these faults and records them. */
export class KillFaults {
  /** Times around kills, for the upstreams. */
  readonly kills: checkNotices.Disruption[] = [];
  /** Times in which an upstream was down, for all instances. */
  readonly outages: checkNotices.Disruption[] = [];

  constructor(private readonly options: KillFaultsOptions) {}

  /** Kills an upstream, which comes back later at another address. */
  async kill(upstream: KillableUpstream): Promise<void> {
    const {start, register, unregister, current} = upstream;
    this.record(upstream.id);
    current.proxy.refuseConnections();
    closeInOrder(current);
    await this.options.clock.sleep(crashFaults.DOWN_MS);
    await start(0);
    await unregister();
    await register();
  }

  /** Kills an upstream; another process has its address at once. */
  async replace(upstream: KillableUpstream): Promise<void> {
    const {start, register, unregister, current} = upstream;
    this.record(upstream.id);
    const port = Number(current.proxy.address.split(':')[1]);
    current.proxy.refuseConnections();
    await start(port);
    await register();
    closeInOrder(current);
    await unregister();
  }

  private record(target: string): void {
    const atMs = this.options.clock.now();
    const fromMs = atMs - MARGIN_MS;
    this.kills.push({target, fromMs, toMs: atMs + MARGIN_MS});
    for (const instance of this.options.instances()) {
      const toMs = atMs + crashFaults.DOWN_MS;
      this.outages.push({target: instance, fromMs: atMs, toMs});
    }
  }
}
