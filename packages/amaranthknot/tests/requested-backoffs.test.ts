import * as chai from 'chai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

/** Longer than any of the tests takes, in seconds. */
const BACKOFF_S = 600;

describe('an upstream that refuses and asks an entry instance for a backoff', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;

  beforeEach(async () => {
    deployment = await fixtures.startDeployment({
      upstreams: fixtures.createUpstreams().slice(0, 2),
    });
  });
  afterEach(() => deployment.stop());

  const entryAddress = (): string => deployment.addresses[0] ?? '';

  const findEngine = () => {
    const [engine] = deployment.fakes.engines.values();
    if (!engine) {
      throw new Error('expected an engine, got none');
    }
    return engine;
  };

  const findService = () => {
    const [service] = deployment.fakes.services.values();
    if (!service) {
      throw new Error('expected a service, got none');
    }
    return service;
  };

  it('gets no further chat, and callers are told its time', async () => {
    // Guards against an instance that goes on sending to an engine in need.
    const engine = findEngine();
    engine.fault = 'refuse';
    engine.retryAfterS = BACKOFF_S;
    await fixtures.chat(entryAddress(), 'hello');
    const before = engine.arrivals;
    const answer = await fixtures.chat(entryAddress(), 'hello');
    chai.expect(engine.arrivals).equal(before);
    chai.expect(answer.status).equal(503);
    const retryAfterS = Number(answer.headers.get('retry-after'));
    chai.expect(retryAfterS).within(BACKOFF_S - 60, 1.25 * BACKOFF_S);
  });

  it('gets no further booking, and callers are told its time', async () => {
    // Guards against bookings that are sent to a service in need.
    const service = findService();
    service.fault = 'refuse';
    service.retryAfterS = BACKOFF_S;
    await fixtures.book(entryAddress(), 'key-1');
    const before = service.arrivals;
    const answer = await fixtures.book(entryAddress(), 'key-2');
    chai.expect(before).equal(1);
    chai.expect(service.arrivals).equal(before);
    chai.expect(answer.status).equal(503);
    const retryAfterS = Number(answer.headers.get('retry-after'));
    chai.expect(retryAfterS).within(BACKOFF_S - 60, 1.25 * BACKOFF_S);
  });
});
