import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';

const SHEDDING = 'shedding';
const UPSTREAMS = [SHEDDING, 'free-1', 'free-2', 'free-3'];

/** Time that an upstream takes to answer and to refuse, in milliseconds. */
const ANSWER_MS = 50;
const REFUSAL_MS = 5;

/** How long the shedding upstream asks for, in milliseconds. */
const BACKOFF_MS = 3_000;

/** Time after a refusal in which requests on their way may arrive, in ms. */
const IN_TRANSIT_MS = 500;

/** Requests of one instance that are allowed in a backoff after that time. */
const MAX_ARRIVALS = 2;

/** What happened at the shedding upstream, as one instance took part in it. */
interface InstanceRecord {
  readonly arrivalsMs: number[];
  readonly refusalsMs: number[];
}

/** A fleet with one upstream that refuses everything and asks for a backoff. */
interface SheddingFleet extends placementLoad.PlacementLoad {
  isShedding: boolean;
  /** By id of the instance. */
  readonly records: ReadonlyMap<string, InstanceRecord>;
}

const startFleet = async (instances: number): Promise<SheddingFleet> => {
  const records = new Map<string, InstanceRecord>();
  const recordOf = (id: string): InstanceRecord => {
    const record = records.get(id) ?? {arrivalsMs: [], refusalsMs: []};
    records.set(id, record);
    return record;
  };
  const answer = async ({
    instance: {id, get},
    placed,
    repeat,
  }: placementLoad.SentRequest): Promise<void> => {
    const {clock} = fleet;
    const isToShedding = placed.upstream.id === SHEDDING;
    if (isToShedding) {
      recordOf(id).arrivalsMs.push(clock.now());
    }
    if (!isToShedding || !fleet.isShedding) {
      await clock.sleep(ANSWER_MS);
      placed.settle('answered');
      return;
    }
    await clock.sleep(REFUSAL_MS);
    recordOf(id).refusalsMs.push(clock.now());
    get('backoffs').record(placed.upstream, BACKOFF_MS);
    placed.settle('refused');
    repeat();
  };
  const fleet: SheddingFleet = {
    ...(await placementLoad.startPlacementLoad({
      instances,
      upstreams: UPSTREAMS,
      answer: sent => void answer(sent),
    })),
    isShedding: false,
    records,
  };
  return fleet;
};

/** Most arrivals in one backoff that the instance should have known of. */
const findMaxArrivals = ({arrivalsMs, refusalsMs}: InstanceRecord): number =>
  Math.max(
    0,
    ...refusalsMs.map(
      refusedMs =>
        arrivalsMs.filter(
          atMs =>
            atMs > refusedMs + IN_TRANSIT_MS && atMs < refusedMs + BACKOFF_MS,
        ).length,
    ),
  );

const findMaxOfAll = ({records}: SheddingFleet): number =>
  Math.max(...[...records.values()].map(findMaxArrivals));

describe('an upstream that asks instances for a backoff', () => {
  const fleets: readonly {
    readonly instances: number;
    readonly perSecond: number;
  }[] = [
    {instances: 6, perSecond: 70},
    {instances: 73, perSecond: 300},
  ];

  fleets.forEach(({instances, perSecond}) => {
    it(`gets nothing for its time from ${instances} instances under load`, async () => {
      // Guards against instances that go on sending to an engine that sheds load.
      const fleet = await startFleet(instances);
      await fleet.load(perSecond, 1_000);
      fleet.isShedding = true;
      await fleet.load(perSecond, 8_000);
      chai.expect(fleet.records.size).equal(instances);
      chai.expect(findMaxOfAll(fleet)).most(MAX_ARRIVALS);
      chai.expect(fleet.refusals).length(0);
    });
  });

  it('gets requests again from all instances when its time is over', async () => {
    const fleet = await startFleet(6);
    fleet.isShedding = true;
    await fleet.load(70, 1_000);
    fleet.isShedding = false;
    await fleet.load(70, BACKOFF_MS);
    const fromMs = fleet.clock.now();
    await fleet.load(70, 2_000);
    fleet.records.forEach(({arrivalsMs}) => {
      chai.expect(arrivalsMs.filter(atMs => atMs > fromMs)).not.empty;
    });
  });

  it('is left alone also when its entry lapses and returns', async () => {
    // Guards against a backoff that is forgotten with a lapsed entry.
    const fleet = await startFleet(6);
    fleet.isShedding = true;
    await fleet.load(70, 200);
    await placementLoad.lapseAndReturn(fleet, SHEDDING);
    await fleet.load(70, 1_500);
    chai.expect(findMaxOfAll(fleet)).most(MAX_ARRIVALS);
  });
});

/** Longer than any of the tests takes, in seconds. */
const LONG_BACKOFF_S = 600;

const shed: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(
    fakes.formatAnswer(request, '', {
      status: 503,
      headers: {
        [platform.HEADER_NAMES.notRun]: '1',
        'Retry-After': String(LONG_BACKOFF_S),
      },
    }),
  );
};

const answerWhole: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatAnswer(request, 'whole'));
};

const breakOff: fakes.UpstreamScript = ({socket}) => {
  socket.resetAndDestroy();
};

/** Answers with one event, and breaks off. */
const breakStream: fakes.UpstreamScript = ({request, socket}) => {
  const event = fakes.formatChunk(fakes.formatEvent(1));
  socket.write(fakes.formatStreamHead(request) + event);
  setTimeout(() => socket.resetAndDestroy(), 20);
};

/** Answers with a whole stream, in which the model has no confidence. */
const streamUnsure: fakes.UpstreamScript = ({request, socket}) => {
  const headers = {[platform.HEADER_NAMES.confidence]: '1'};
  const event = fakes.formatChunk(fakes.formatEvent(1));
  socket.write(
    fakes.formatStreamHead(request, {headers}) + event + fakes.LAST_CHUNK,
  );
};

describe('a request to a service of which an upstream asked for a backoff', () => {
  let gateway: fixture.GatewayFixture;
  let shedding: fakes.ScriptedUpstream;
  let other: fakes.ScriptedUpstream;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    shedding = new fakes.ScriptedUpstream(shed);
    other = new fakes.ScriptedUpstream(answerWhole);
    await shedding.start();
    await other.start();
    await gateway.register('shedding', shedding);
    // The only upstream refuses, and the instance knows of its backoff.
    await gateway.call({path: fixture.PATHS.read});
  });

  afterEach(async () => {
    await gateway.stop();
    await shedding.stop();
    await other.stop();
  });

  const kinds: readonly {
    readonly name: string;
    readonly path: string;
    readonly method: string;
    /** Answers of the other upstream; undefined if there is none. */
    readonly script: fakes.UpstreamScript | undefined;
    /** Requests that the other upstream gets. */
    readonly sends: number;
    readonly headers?: Readonly<Record<string, string>>;
  }[] = [
    {
      name: 'a first send that may be repeated',
      path: fixture.PATHS.read,
      method: 'GET',
      script: undefined,
      sends: 0,
    },
    {
      name: 'a first send that may run once',
      path: fixture.PATHS.book,
      method: 'POST',
      script: undefined,
      sends: 0,
    },
    {
      name: 'a first send for a stream that may be resumed',
      path: fixture.PATHS.stream,
      method: 'POST',
      script: undefined,
      sends: 0,
    },
    {
      name: 'a first send for a stream that may run once',
      path: fixture.PATHS.once,
      method: 'POST',
      script: undefined,
      sends: 0,
    },
    {
      name: 'a repeat after a broken answer',
      path: fixture.PATHS.read,
      method: 'GET',
      script: breakOff,
      sends: 1,
    },
    {
      name: 'a repeat for a stream that did not begin',
      path: fixture.PATHS.stream,
      method: 'POST',
      script: breakOff,
      sends: 1,
    },
    {
      name: 'a stream that is resumed',
      path: fixture.PATHS.stream,
      method: 'POST',
      script: breakStream,
      sends: 3,
    },
    {
      name: 'a second run by the capable model',
      path: fixture.PATHS.model,
      method: 'POST',
      script: streamUnsure,
      sends: 2,
      headers: {
        [platform.HEADER_NAMES.model]: '*',
        [platform.HEADER_NAMES.tokenCounts]: '1000,500',
        [platform.HEADER_NAMES.promptParts]: '1:900,2:100',
      },
    },
  ];

  kinds.forEach(({name, path, method, script, sends, headers = {}}) => {
    it(`is not sent to that upstream: ${name}`, async () => {
      // Guards against a kind of send that passes by the check.
      if (script) {
        other.script = script;
        await gateway.register('other', other);
      }
      const before = shedding.requests.length;
      await gateway
        .call({path, method, body: method === 'POST' ? 'x' : '', headers})
        .catch(() => undefined);
      chai.expect(shedding.requests).length(before);
      chai.expect(other.requests).length(sends);
    });
  });

  const routes = [
    fixture.PATHS.read,
    fixture.PATHS.book,
    fixture.PATHS.stream,
    fixture.PATHS.once,
  ];

  routes.forEach(path => {
    it(`is refused with the time that is left, if there is no other: ${path}`, async () => {
      // Guards against callers that come back while no upstream takes them.
      const answer = await gateway.call({path});
      const retryAfterS = Number(answer.headers['retry-after']);
      chai.expect(answer.status).equal(503);
      chai
        .expect(retryAfterS)
        .within(LONG_BACKOFF_S - 60, 1.25 * LONG_BACKOFF_S);
    });
  });
});

describe('a service of which all upstreams asked for a backoff', () => {
  it('names the time at which the first is over, and serves from then on', async () => {
    const fleet = await startFleet(1);
    const instance = placementLoad.getOnlyInstance(fleet);
    const place = () =>
      instance
        .get('placement')
        .place(placementFixture.createPlacementRequest(instance, 'request'));
    const waitMs = () => place().swap().toMaybe().extract()?.waitMs;
    const upstreams = instance.get('catalog').all();
    upstreams.forEach(({upstream}, index) => {
      instance.get('backoffs').record(upstream, BACKOFF_MS + index * 100);
    });
    chai.expect(waitMs()).equal(BACKOFF_MS);
    await fleet.clock.advance(BACKOFF_MS - 10);
    chai.expect(waitMs()).equal(10);
    await fleet.clock.advance(10);
    chai.expect(place().isRight()).equal(true);
  });
});
