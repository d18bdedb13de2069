import * as chai from 'chai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

describe('a booking on three entry instances', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  beforeEach(async () => {
    deployment = await fixtures.startDeployment();
  });
  afterEach(() => deployment.stop());

  const countRuns = () =>
    [...deployment.fakes.services.values()].flatMap(service => service.runs)
      .length;

  const setFault = (fault: 'none' | 'refuse' | 'cut_after' | 'cut_before') => {
    for (const service of deployment.fakes.services.values()) {
      service.fault = fault;
    }
  };

  // A client library sends the same booking to three instances at once because
  // the first seemed slow. Without a claim each instance would send it to the
  // service.
  it('runs once when sent to all instances at the same moment', async () => {
    const answers = await Promise.all(
      deployment.addresses.map(address => fixtures.book(address, 'key-1')),
    );
    chai.expect(countRuns()).equal(1);
    const done = answers.filter(answer => answer.status === 200);
    chai.expect(done.length).greaterThan(0);
    for (const answer of answers.filter(found => found.status !== 200)) {
      chai.expect(answer.json.error.ran).equal('unknown');
    }
    const later = await fixtures.book(deployment.addresses[2]!, 'key-1');
    chai.expect(later.text).equal(done[0]!.text);
  });

  // The service receives the booking, and the connection breaks before its
  // answer. The caller gets `unknown`; its retries must never send the booking
  // again.
  it('answers unknown after a cut connection and is never sent again', async () => {
    setFault('cut_after');
    const first = await fixtures.book(deployment.addresses[0]!, 'key-2');
    chai.expect(first.status).equal(409);
    chai.expect(first.json.error.ran).equal('unknown');
    chai.expect(first.headers.get('x-should-retry')).equal('false');
    setFault('none');
    const retry = await fixtures.book(deployment.addresses[1]!, 'key-2');
    chai.expect(retry.json.error.ran).equal('unknown');
    chai.expect(countRuns()).equal(1);
  });

  // The service refuses the booking without running it. The claim is released,
  // so that a later retry with the same key runs it.
  it('runs on a retry after a refusal that says not_run', async () => {
    setFault('refuse');
    const first = await fixtures.book(deployment.addresses[0]!, 'key-3');
    chai.expect(first.json.error.ran).equal('not_run');
    chai.expect(first.headers.get('retry-after')).match(/^\d+$/);
    setFault('none');
    const retry = await fixtures.book(deployment.addresses[1]!, 'key-3');
    chai.expect(retry.status).equal(200);
    chai.expect(countRuns()).equal(1);
  });

  // The platform is down, so nothing can be claimed. The booking is refused as
  // not run, with Retry-After; after the outage a retry runs it once.
  it('is refused in a platform outage and runs once after it', async () => {
    deployment.fakes.platform.mode = 'down';
    const refused = await Promise.all(
      deployment.addresses.map(address => fixtures.book(address, 'key-4')),
    );
    for (const answer of refused) {
      chai.expect(answer.status).equal(503);
      chai.expect(answer.json.error.ran).equal('not_run');
      chai.expect(Number(answer.headers.get('retry-after'))).greaterThan(0);
    }
    chai.expect(countRuns()).equal(0);
    deployment.fakes.platform.mode = 'up';
    let last = refused[0]!;
    for (let i = 0; i < 100 && last.status !== 200; i++) {
      await new Promise(resolve => setTimeout(resolve, 50));
      last = await fixtures.book(deployment.addresses[i % 3]!, 'key-4');
    }
    chai.expect(last.status).equal(200);
    chai.expect(countRuns()).equal(1);
  });

  // The claim takes effect and the platform's answer is lost. The instance
  // reads the claim back, finds its own token, and sends the booking once.
  it('runs once when the answers to writes are lost', async () => {
    deployment.fakes.platform.store.fault = operation =>
      operation === 'create' ? 'lost_after' : 'none';
    const answer = await fixtures.book(deployment.addresses[0]!, 'key-5');
    chai.expect(answer.status).equal(200);
    const retry = await fixtures.book(deployment.addresses[1]!, 'key-5');
    chai.expect(retry.text).equal(answer.text);
    chai.expect(countRuns()).equal(1);
  });

  const invalid = [
    {
      name: 'no key',
      headers: {},
      body: {seat: 1},
      status: 400,
      code: 'idempotency_key_required',
    },
    {
      name: 'a key that was used with another body',
      headers: {'idempotency-key': 'key-6'},
      body: {seat: 2},
      status: 422,
      code: 'idempotency_key_reused',
    },
  ];
  for (const {name, headers, body, status, code} of invalid) {
    it(`is refused with ${name}`, async () => {
      const [address] = deployment.addresses;
      await fixtures.book(address!, 'key-6', 1);
      const answer = await fixtures.send(address!, '/services/bookings/seats', {
        headers,
        body,
      });
      chai.expect(answer.status).equal(status);
      chai.expect(answer.json.error).include({code, ran: 'not_run'});
      chai.expect(countRuns()).equal(1);
    });
  }
});
