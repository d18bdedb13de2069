import * as chai from 'chai';
import * as ledger from '@amaranthknot/ledger';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as processes from './support/processes.js';

describe('billing on an instance without peers', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  beforeEach(async () => {
    deployment = await fixtures.startDeployment({zones: ['zone-a']});
  });
  afterEach(() => deployment.stop());

  const setBillsDown = (isDown: boolean) => {
    deployment.fakes.platform.store.fault = (_operation, kind) =>
      isDown && kind === ledger.BILL_KIND ? 'down' : 'none';
  };

  const readBills = async (): Promise<ledger.BillSummary> =>
    (await ledger.readBills(deployment.fakes.platform.store)).unsafeCoerce();

  // The platform refuses bills, and there is no peer to copy them to. A booking
  // has run by then: the caller is told that it ran but gets no answer. The
  // answer must not be recorded either, or a retry on another instance would
  // return it unbilled.
  it('withholds an answer whose bill cannot be stored', async () => {
    setBillsDown(true);
    const [address] = deployment.addresses;
    const first = await fixtures.book(address!, 'key-1');
    chai.expect(first.json.error).include({
      code: 'outcome_unknown',
      ran: 'ran',
    });
    const next = await fixtures.book(address!, 'key-2');
    chai.expect(next.json.error).include({
      code: 'platform_out',
      ran: 'not_run',
    });
    chai.expect(next.headers.get('retry-after')).match(/^\d+$/);
    const {store} = deployment.fakes.platform;
    const claims = (await store.list('claim')).unsafeCoerce();
    const states = claims.objects.map(
      object => (object.value as ledger.ClaimRecord).state,
    );
    chai.expect(states).eql(['claimed']);
    setBillsDown(false);
    await processes.waitUntil(
      'the bill is written after the outage',
      async () => (await readBills()).bills.length === 1,
    );
  });
});
