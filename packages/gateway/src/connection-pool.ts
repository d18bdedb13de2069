/** Connections to upstreams, kept between requests. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as routing from '@amaranthknot/routing';

/**
 * Idle connections kept to one upstream. All instances share what an upstream
 * accepts; requests in progress need theirs first.
 */
const MAX_IDLE_PER_UPSTREAM = 8;

/**
 * Longest idle time of a kept connection, in milliseconds. Upstreams close
 * idle ones after some seconds, and say so in whole seconds; one that is
 * reused as it is closed loses the request.
 */
const MAX_IDLE_MS = 4_000;

/**
 * An agent whose idle connections are closed as soon as bytes arrive on them.
 * An upstream may send a second answer after a complete one; read later, it
 * would stand where the next request's answer is expected.
 */
class GuardedAgent extends http.Agent {
  /** Whether the connection is kept; the library's types leave that out. */
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

/** Leaves connections with a request in progress alone. */
const closeIdle = (agent: http.Agent): void => {
  for (const sockets of Object.values(agent.freeSockets)) {
    sockets?.forEach(socket => socket.destroy());
  }
};

/** One agent for each upstream, and one that keeps nothing. */
export class ConnectionPool {
  private readonly agents = new Map<string, GuardedAgent>();
  private readonly unpooledAgent = new http.Agent({keepAlive: false});

  /** The agent for a request to `upstream`. */
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
    });
    this.agents.set(upstream.id, agent);
    return agent;
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
