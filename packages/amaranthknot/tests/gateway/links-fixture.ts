/** A deployment whose links between instances and upstreams can be cut. */
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';

/** How the links of an instance to all upstreams are cut. */
export type CutKind =
  /** Bytes are lost in both directions; connections are accepted. */
  | 'hang'
  /** Open connections are reset, new ones are reset at once. */
  | 'reset'
  /** Open connections live on, new ones are reset at once. */
  | 'new_refused'
  /** Requests arrive, and nothing comes back. */
  | 'one_way';

const MODES: Readonly<Record<CutKind, fakes.ProxyMode>> = {
  hang: 'silent',
  reset: 'refusing',
  new_refused: 'refusing',
  one_way: 'one_way',
};

/** Kinds of requests that the load mixes in equal parts. */
export const KINDS = ['read', 'book', 'stream'] as const;

export type Kind = (typeof KINDS)[number];

/** A request of the load, and what its caller got. */
export interface SentRequest {
  readonly id: string;
  readonly kind: Kind;
  readonly isServed: boolean;
}

/** A running deployment with links that can be cut. */
export interface LinkedGateway {
  readonly gateway: fixture.GatewayFixture;
  readonly upstreams: readonly fakes.ScriptedUpstream[];
  readonly cut: (instance: number, kind: CutKind) => void;
  readonly heal: (instance: number) => void;
  /** Sends requests to an instance, one every 30 ms; resolves at their ends. */
  readonly load: (
    instance: number,
    forMs: number,
  ) => Promise<readonly SentRequest[]>;
  /** Ids of all requests that upstreams ran. */
  readonly findRuns: () => readonly string[];
  readonly stop: () => Promise<void>;
}

const LOAD_INTERVAL_MS = 30;

/** Time that an upstream takes for a plain answer or an event, in ms. */
const WORK_MS = 20;

const EVENTS = 4;

const WHOLE_STREAM = Array.from({length: EVENTS}, (_, index) =>
  fakes.formatEvent(index + 1),
).join('');

/** Answers plain requests whole, and streams event by event. */
const answer: fakes.UpstreamScript = ({request, socket}) => {
  if (!request.target.startsWith('/stream')) {
    setTimeout(() => {
      socket.write(fakes.formatAnswer(request, 'whole'));
    }, WORK_MS);
    return;
  }
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  socket.write(fakes.formatStreamHead(request));
  for (let id = first; id <= EVENTS; id++) {
    const delayMs = (id - first) * WORK_MS;
    setTimeout(() => {
      socket.write(fakes.formatChunk(fakes.formatEvent(id)));
    }, delayMs);
  }
  setTimeout(() => {
    socket.write(fakes.LAST_CHUNK);
  }, EVENTS * WORK_MS);
};

/**
 * Starts instances and upstreams with a proxy before each upstream.
 *
 * @param utilizations see `startGateway`.
 */
export const startLinkedGateway = async (
  instances: number,
  upstreamCount = 3,
  utilizations: readonly number[] = [],
): Promise<LinkedGateway> => {
  const manifest = fixture.createManifest(1);
  const gateway = await fixture.startGateway(instances, manifest, utilizations);
  const upstreams: fakes.ScriptedUpstream[] = [];
  const proxies: fakes.LoopbackProxy[] = [];
  for (let i = 0; i < upstreamCount; i++) {
    const upstream = new fakes.ScriptedUpstream(answer);
    await upstream.start();
    const proxy = new fakes.LoopbackProxy(upstream.address);
    await proxy.start();
    await gateway.register(`u-${i + 1}`, proxy);
    upstreams.push(upstream);
    proxies.push(proxy);
  }
  const setMode = (instance: number, mode: fakes.ProxyMode) => {
    proxies.forEach(proxy => {
      proxy.setModeOf(fixture.findSource(instance), mode);
    });
  };
  const reset = (instance: number) => {
    proxies.forEach(proxy => {
      proxy.resetAll(fixture.findSource(instance));
    });
  };
  let lastId = 0;
  const send = async (instance: number, kind: Kind): Promise<SentRequest> => {
    const id = `load-${++lastId}`;
    const method = kind === 'read' ? 'GET' : 'POST';
    const call = {path: fixture.PATHS[kind], method, id};
    const expected = kind === 'stream' ? WHOLE_STREAM : 'whole';
    const isServed = await gateway.call(call, instance).then(
      ({status, body, isComplete}) =>
        status === 200 && isComplete && body === expected,
      () => false,
    );
    return {id, kind, isServed};
  };
  return {
    gateway,
    upstreams,
    cut: (instance, kind) => {
      setMode(instance, MODES[kind]);
      if (kind === 'reset') {
        reset(instance);
      }
    },
    heal: instance => {
      setMode(instance, 'open');
      // Connections that lost bytes in a cut would hang for ever.
      reset(instance);
    },
    load: async (instance, forMs) => {
      const sent: Promise<SentRequest>[] = [];
      for (let passedMs = 0; passedMs < forMs; passedMs += LOAD_INTERVAL_MS) {
        const kind = KINDS[sent.length % KINDS.length] ?? 'read';
        sent.push(send(instance, kind));
        await ports.systemClock.sleep(LOAD_INTERVAL_MS);
      }
      return Promise.all(sent);
    },
    findRuns: () =>
      upstreams.flatMap(({requests}) =>
        requests.flatMap(({headers, target}) =>
          target === '/health' ? [] : (headers['x-attempt-id'] ?? []),
        ),
      ),
    stop: async () => {
      await gateway.stop();
      await Promise.all(proxies.map(proxy => proxy.stop()));
      await Promise.all(upstreams.map(upstream => upstream.stop()));
    },
  };
};
