import * as http from 'node:http';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as soak from '@amaranthknot/soak';
import * as oneProcess from './one-process.js';

const METRICS_PORT = 9_464;

/** Largest body that the manifest allows, but for a margin. */
const LARGE_BODY = Buffer.alloc(900_000, 'b');
/** Largest answer of a plain service that is buffered, but for a margin. */
const LARGE_ANSWER = 'a'.repeat(8_000_000);
/** Piece of a long stream of 8 MB. */
const EVENT_TEXT = 'e'.repeat(4_000);
const EVENTS = 2_000;

const WORK_MS = 600;

/** Time in which an answer is broken off after its request's time, in ms. */
const UNREAD_MS = 4_000;

/** Pause after each piece of an answer that is read slowly, in ms. */
const READ_PAUSE_MS = 50;

const waitUntil = async (isSo: () => boolean): Promise<void> => {
  while (!isSo()) {
    await ports.systemClock.sleep(READ_PAUSE_MS);
  }
};

/** Sends a request over the connection of `agent`; resolves to the status. */
const callKept = (
  port: number,
  agent: http.Agent,
  body: Buffer,
): Promise<number> =>
  new Promise((resolve, reject) => {
    const request = http.request({
      host: oneProcess.IP,
      port,
      agent,
      method: 'POST',
      path: '/read/quick',
      headers: {
        Host: 'svc.example',
        'X-Attempt-Id': oneProcess.createId(),
        'Api-Key': oneProcess.KEY,
        'Content-Length': body.length,
      },
    });
    request.once('error', reject);
    request.once('response', response => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.end(body);
  });

const script: fakes.UpstreamScript = ({request, socket}) => {
  const {target} = request;
  setTimeout(
    () => {
      if (target.startsWith('/stream/')) {
        socket.write(fakes.formatStreamHead(request));
        for (let id = 1; id <= EVENTS; id++) {
          socket.write(fakes.formatChunk(fakes.formatEvent(id, EVENT_TEXT)));
        }
        socket.write(fakes.LAST_CHUNK);
        return;
      }
      const isLarge = target.includes('large');
      const body = isLarge ? LARGE_ANSWER : 'fine';
      socket.write(fakes.formatAnswer(request, body));
    },
    target.includes('quick') ? 0 : WORK_MS,
  );
};

describe('the memory of a process', function () {
  this.timeout(60_000);
  let system: oneProcess.OneProcess;
  let port: number;

  before(function () {
    this.timeout(120_000);
    soak.buildArtefact();
  });

  beforeEach(async () => {
    system = await oneProcess.startProcess(script);
    ({port} = system);
  });

  afterEach(() => system.stop());

  const readHeldBytes = async (): Promise<number> => {
    const answer = await fetch(
      `http://${oneProcess.IP}:${METRICS_PORT}/metrics`,
    );
    const text = await answer.text();
    return Number(/amaranthknot_held_bytes (\d+)/.exec(text)?.[1]);
  };

  /** Resolves once the process holds no bytes of exchanges any more. */
  const waitUntilReleased = async (): Promise<void> => {
    while ((await readHeldBytes()) !== 0) {
      await ports.systemClock.sleep(50);
    }
  };

  const checkSmallRequests = async (): Promise<void> => {
    const body = Buffer.alloc(2_000, 's');
    const small = [
      oneProcess.call(port, 'GET', '/read/quick'),
      oneProcess.call(port, 'POST', '/book/quick', {body}),
    ];
    chai
      .expect(await Promise.all(small.map(({status}) => status)))
      .deep.equal([200, 200]);
  };

  const checkPeak = (): void => {
    const peak = system.process.peakResidentBytes;
    chai.expect(system.process.end).equal(undefined);
    chai.expect(peak, 'peak').lessThan(oneProcess.MAX_RESIDENT_BYTES);
  };

  const countStatuses = async (
    callers: readonly oneProcess.RawCaller[],
  ): Promise<Readonly<Record<number, number>>> => {
    const counts: Record<number, number> = {};
    for (const {status} of callers) {
      const found = await status;
      counts[found] = (counts[found] ?? 0) + 1;
    }
    return counts;
  };

  for (const isChunked of [false, true]) {
    const how = isChunked ? 'in chunks' : 'with their length';
    it(`holds when 150 callers send large bodies ${how} at once`, async () => {
      // Guards against a kill at the limit, which loses all that was accepted.
      const options = {body: LARGE_BODY, isChunked};
      const callers = Array.from({length: 150}, () =>
        oneProcess.call(port, 'POST', '/read/1', options),
      );
      await ports.systemClock.sleep(WORK_MS / 4);
      await checkSmallRequests();
      const counts = await countStatuses(callers);
      checkPeak();
      chai.expect(counts[0] ?? 0).equal(0);
      chai.expect(counts[200] ?? 0).greaterThan(20);
    });
  }

  it('gives back what exchanges held, however they ended', async () => {
    // Guards against bytes that stay counted, until all requests are refused.
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    const body = Buffer.alloc(2_000, 's');
    const kept = Array.from({length: 5}, () => callKept(port, agent, body));
    chai.expect(await Promise.all(kept)).deep.equal(Array(5).fill(200));
    const options = {body: LARGE_BODY, isChunked: true};
    const left = [
      oneProcess.call(port, 'POST', '/read/1', {body}),
      oneProcess.call(port, 'POST', '/read/1', options),
      oneProcess.call(port, 'POST', '/book/large', {body: LARGE_BODY}),
      oneProcess.call(port, 'GET', '/read/large', {isSlow: true}),
      oneProcess.call(port, 'POST', '/stream/1', {body, isSlow: true}),
    ];
    const cut = oneProcess.call(port, 'POST', '/read/1', {
      body,
      declaredBytes: 900_000,
    });
    const tooLarge = oneProcess.call(port, 'POST', '/read/1', {
      body,
      declaredBytes: 2_000_000,
    });
    chai.expect(await tooLarge.status).equal(413);
    const tooLong = {body: Buffer.alloc(1_100_000), isChunked: true};
    const long = oneProcess.call(port, 'POST', '/read/1', tooLong);
    chai.expect(await long.status).equal(413);
    const pipelined = oneProcess.call(port, 'GET', '/read/quick');
    pipelined.socket.write(oneProcess.formatHead('GET', '/read/quick', {}));
    chai.expect(await readHeldBytes()).greaterThan(0);
    await ports.systemClock.sleep(WORK_MS / 2);
    for (const {socket} of [...left.slice(0, 2), cut]) {
      socket.destroy();
    }
    await Promise.all(left.map(({status}) => status));
    for (const {socket} of left) {
      socket.destroy();
    }
    await waitUntilReleased();
    agent.destroy();
  });

  it('holds when callers do not read long streams', async () => {
    const callers = Array.from({length: 60}, () =>
      oneProcess.call(port, 'POST', '/stream/1', {
        body: Buffer.from('x'),
        isSlow: true,
      }),
    );
    await countStatuses(callers);
    await ports.systemClock.sleep(WORK_MS);
    await checkSmallRequests();
    checkPeak();
  });

  it('holds when callers do not read large answers', async () => {
    const callers = Array.from({length: 60}, () =>
      oneProcess.call(port, 'GET', '/read/large', {isSlow: true}),
    );
    await ports.systemClock.sleep(2 * WORK_MS);
    await checkSmallRequests();
    await countStatuses(callers);
    checkPeak();
  });

  it('serves large answers after callers that never read theirs', async () => {
    // Guards against callers who stay and don't read: the bytes that they hold
    // would be missed by all others for as long as the process runs.
    const callers = Array.from({length: 12}, () =>
      oneProcess.call(port, 'GET', '/read/large', {isSlow: true}),
    );
    await ports.systemClock.sleep(
      oneProcess.CALLER_TIME_MS + UNREAD_MS + WORK_MS,
    );
    const held = await readHeldBytes();
    const late = await oneProcess.call(port, 'GET', '/read/large').status;
    callers.forEach(({socket}) => socket.destroy());
    chai.expect({late, held}).deep.equal({late: 200, held: 0});
  });

  it('takes large bodies beside callers that declare and send none', async () => {
    // Guards against callers who take the bytes for bodies without a byte sent.
    const options = {body: Buffer.alloc(10), declaredBytes: 900_000};
    const callers = Array.from({length: 60}, () =>
      oneProcess.call(port, 'POST', '/read/1', options),
    );
    await ports.systemClock.sleep(WORK_MS);
    const body = LARGE_BODY;
    const {status} = oneProcess.call(port, 'POST', '/read/quick', {body});
    chai.expect(await status).equal(200);
    callers.forEach(({socket}) => socket.destroy());
  });

  it('delivers an answer that its caller reads slowly, however late', async () => {
    // Guards against answers that are broken off while they are still read.
    const {socket} = oneProcess.call(port, 'GET', '/read/large');
    let bytes = 0;
    socket.on('data', chunk => {
      bytes += chunk.length;
      socket.pause();
      setTimeout(() => {
        socket.resume();
      }, READ_PAUSE_MS);
    });
    await new Promise(resolve => {
      socket.once('end', resolve);
      socket.once('close', resolve);
      void waitUntil(() => bytes >= LARGE_ANSWER.length).then(resolve);
    });
    socket.destroy();
    chai.expect(bytes).at.least(LARGE_ANSWER.length);
  });

  it('holds with large bodies, long streams and large answers at once', async () => {
    const callers = Array.from({length: 60}, () => [
      oneProcess.call(port, 'POST', '/read/large', {
        body: LARGE_BODY,
        isSlow: true,
      }),
      oneProcess.call(port, 'POST', '/book/1', {
        body: LARGE_BODY,
        isChunked: true,
      }),
      oneProcess.call(port, 'POST', '/stream/1', {
        body: LARGE_BODY,
        isSlow: true,
      }),
    ]).flat();
    await ports.systemClock.sleep(2 * WORK_MS);
    await checkSmallRequests();
    await countStatuses(callers);
    checkPeak();
  });
});
