/** Keeps connections to upstreams open between requests. */
import * as http from 'node:http';
import * as net from 'node:net';
import type * as routing from '@amaranthknot/routing';

/**
 * Maximum number of idle connections to one upstream. All instances share the
 * connections that an upstream accepts, and requests in progress come first.
 */
const MAX_IDLE_PER_UPSTREAM = 8;

/**
 * Longest idle time of a kept connection, in milliseconds. Upstreams close idle
 * connections after some seconds, which they announce in whole seconds; a
 * request on a connection that is just being closed is lost.
 */
const MAX_IDLE_MS = 4_000;

/** Options of a request for which a connection was opened before. */
interface OpenedOptions extends net.TcpNetConnectOpts {
  readonly opened?: net.Socket;
}

/** An agent that takes a connection that was opened for the request. */
class OpenedAgent extends http.Agent {
  override createConnection(options: OpenedOptions): net.Socket {
    return options.opened ?? net.connect(options);
  }
}

/**
 * An agent that closes an idle connection as soon as bytes arrive on it. An
 * upstream may send a second answer after a complete one, which would be taken
 * for the answer to the next request.
 */
class GuardedAgent extends OpenedAgent {
  /** Returns whether the connection is kept; the library's types omit that. */
  override keepSocketAlive(socket: net.Socket): boolean {
    const keep = super.keepSocketAlive.bind(this) as (
      socket: net.Socket,
    ) => boolean;
    const isKept = keep(socket);
    if (isKept) {
      socket.on('data', destroyOnData);
      socket.resume();
    }
    return isKept;
  }

  override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
    socket.off('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

function destroyOnData(this: net.Socket): void {
  this.destroy();
}

/** Closes idle connections; those with a request in progress stay open. */
const closeIdle = (agent: http.Agent): void => {
  for (const sockets of Object.values(agent.freeSockets)) {
    sockets?.forEach(socket => socket.destroy());
  }
};

/** Options of an agent that sets the source address, if there is one. */
const findSource = (
  localAddress: string | undefined,
): {readonly localAddress?: string} =>
  localAddress === undefined ? {} : {localAddress};

/** One agent for each upstream, and one that keeps no connections. */
export class ConnectionPool {
  private readonly agents = new Map<string, GuardedAgent>();
  private readonly unpooledAgent: OpenedAgent;

  /** @param localAddress IP address from which connections are opened. */
  constructor(private readonly localAddress?: string) {
    this.unpooledAgent = new OpenedAgent({
      keepAlive: false,
      ...findSource(localAddress),
    });
  }

  /** The agent for requests to `upstream`; `fresh` keeps no connection. */
  agentOf(
    upstream: routing.Upstream,
    connection: 'fresh' | 'kept',
  ): http.Agent {
    if (connection === 'fresh') {
      return this.unpooledAgent;
    }
    const known = this.agents.get(upstream.id);
    if (known) {
      return known;
    }
    const agent = new GuardedAgent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_UPSTREAM,
      timeout: MAX_IDLE_MS,
      scheduling: 'lifo',
      ...findSource(this.localAddress),
    });
    this.agents.set(upstream.id, agent);
    return agent;
  }

  /** Whether `agentOf` has an open connection that no request uses. */
  hasIdle({id}: routing.Upstream, connection: 'fresh' | 'kept'): boolean {
    const agent = connection === 'kept' ? this.agents.get(id) : undefined;
    return Object.values(agent?.freeSockets ?? {}).some(sockets =>
      sockets?.some(socket => !socket.destroyed),
    );
  }

  /** Opens a connection to pass to an agent as `opened`. */
  connect({address}: routing.Upstream): net.Socket {
    return net.connect({
      ...address,
      ...findSource(this.localAddress),
      noDelay: true,
    });
  }

  /** Closes idle connections to upstreams that are no longer known. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, agent] of this.agents) {
      if (!ids.has(id)) {
        closeIdle(agent);
        this.agents.delete(id);
      }
    }
  }
}
