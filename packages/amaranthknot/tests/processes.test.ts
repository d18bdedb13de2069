import * as chai from 'chai';
import * as ledger from '@amaranthknot/ledger';
import * as membership from '@amaranthknot/membership';
import * as fixtures from './support/fixtures.js';
import * as processes from './support/processes.js';

describe('entry instances as separate processes', () => {
  let deployment: processes.ProcessDeployment;
  beforeEach(async () => {
    deployment = await processes.startProcesses({tokenMs: 20});
  });
  afterEach(() => deployment.stop());

  const addressOf = (index: number): string =>
    deployment.instances[index]!.address;

  const readBills = async (): Promise<ledger.BillSummary> =>
    (await ledger.readBills(deployment.fakes.platform.store)).unsafeCoerce();

  // An instance answers and is killed before it has written its bills. The
  // peers that hold copies must write them, each bill only once.
  it('write the bills of a killed instance once', async () => {
    const answers = await Promise.all(
      ['a', 'b', 'c', 'd', 'e'].map(prompt =>
        fixtures.chat(addressOf(0), prompt),
      ),
    );
    deployment.instances[0]!.signal('SIGKILL');
    for (const answer of answers) {
      chai.expect(answer.status, answer.text).equal(200);
    }
    await processes.waitUntil(
      'the bills of the killed instance',
      async () => (await readBills()).bills.length >= answers.length,
    );
    const bills = await readBills();
    chai.expect(bills.bills.length).equal(answers.length);
    chai.expect(bills.duplicates).equal(0);
  });

  it('are ready only when their upstreams are known', async () => {
    // Guards against an instance that reports ready and then refuses requests
    // because it knows no upstream.
    const [instance] = deployment.instances;
    const {platform} = deployment.fakes;
    platform.isInstanceListDown = true;
    instance!.signal('SIGKILL');
    await instance!.waitForExit();
    const started = instance!.start();
    await processes.waitUntil('it has a configuration', async () => {
      const state = await instance!.readState().catch(() => undefined);
      return Number(state?.['generation']) > 0;
    });
    chai.expect(await instance!.isReady()).equal(false);
    platform.isInstanceListDown = false;
    await started;
    chai.expect((await fixtures.chat(addressOf(0), 'a')).status).equal(200);
  });

  // The booking service receives a booking and does not answer; the instance
  // that claimed it is killed. Another instance cannot know whether it ran: it
  // answers a retry with `unknown` and never sends the booking again.
  it('never send a booking of a killed instance again', async () => {
    const services = [...deployment.fakes.services.values()];
    for (const service of services) {
      service.fault = 'silent';
    }
    const first = fixtures.book(addressOf(0), 'key-1').catch(() => undefined);
    const countRuns = () => services.flatMap(service => service.runs).length;
    await processes.waitUntil('the booking ran', () => countRuns() === 1);
    deployment.instances[0]!.signal('SIGKILL');
    await first;
    for (const service of services) {
      service.fault = 'none';
    }
    for (const index of [1, 2, 1]) {
      const retry = await fixtures.book(addressOf(index), 'key-1');
      chai.expect(retry.json.error.ran).equal('unknown');
    }
    chai.expect(countRuns()).equal(1);
  });

  // Operators stop an instance while callers stream from it, and callers with
  // an outdated list of instances still arrive. No request may be cut.
  it('cut no request in a planned stop', async () => {
    const leaving = deployment.instances[0]!;
    const prompt = 'word '.repeat(60);
    const ask = () => fixtures.chat(leaving.address, prompt, {stream: true});
    const answers = [ask(), ask(), ask()];
    await new Promise(resolve => setTimeout(resolve, 200));
    leaving.signal('SIGTERM');
    await processes.waitUntil(
      'the instance is not ready',
      async () => !(await leaving.isReady()),
    );
    const late = ask();
    for (const answer of await Promise.all([...answers, late])) {
      chai.expect(answer.status).equal(200);
      chai.expect(answer.text).match(/\[DONE\]\s*$/);
    }
    await processes.waitUntil('peers no longer list it', async () => {
      const listed = await fixtures.send(addressOf(1), '/v1/entry-instances', {
        method: 'GET',
      });
      return !listed.text.includes(leaving.address);
    });
    await leaving.waitForExit();
    chai.expect(leaving.exitCode).equal(0);
    const bills = await readBills();
    chai.expect(bills.bills.length).equal(4);
  });

  // An instance is paused while operators take a zone out, and resumes later.
  // Its clock shows that its configuration is stale: it must start no work in
  // that zone by it.
  it('start no work in a zone that was taken out while they were paused', async () => {
    const paused = deployment.instances[1]!;
    paused.signal('SIGSTOP');
    const document = fixtures.createDocument({zoneStates: {'zone-b': 'out'}});
    const {store} = deployment.fakes.platform;
    const published = await membership.publishDocument(store, 'test', document);
    const {generation} = published.unsafeCoerce();
    await processes.waitUntil(
      'it is active on the other instances',
      async () => {
        const states = await Promise.all(
          [0, 2].map(index => deployment.instances[index]!.readState()),
        );
        return states.every(state => state['generation'] === generation);
      },
    );
    await new Promise(resolve => setTimeout(resolve, 6_000));
    const engine = deployment.fakes.engines.get('engine-2')!;
    const before = engine.started.length;
    const asked = [1, 2, 3, 4].map(index =>
      fixtures.chat(paused.address, `question ${index}`),
    );
    await new Promise(resolve => setTimeout(resolve, 100));
    paused.signal('SIGCONT');
    const answers = await Promise.all(asked);
    for (const answer of answers) {
      chai.expect([200, 503]).include(answer.status);
    }
    await processes.waitUntil(
      'it is active on the paused instance',
      async () => {
        const state = await paused.readState();
        return state['generation'] === generation;
      },
    );
    await fixtures.chat(paused.address, 'afterwards');
    chai.expect(engine.started.length).equal(before);
  });
});
