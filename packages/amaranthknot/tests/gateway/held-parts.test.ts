import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';
import * as protocol from '@amaranthknot/protocol';
import * as heldParts from '../../src/commands/held-parts.js';
import * as fixture from './gateway-fixture.js';

interface Output {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

const run = async (...args: readonly string[]): Promise<Output> => {
  let out = '';
  let err = '';
  const code = await heldParts.heldParts.run(args, {
    out: text => {
      out += text;
    },
    err: text => {
      err += text;
    },
    isTerminal: false,
    readFile: () => '',
  });
  return {code, out, err};
};

describe('held-parts', () => {
  let gateway: fixture.GatewayFixture;
  let address: string;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    const [settings] = gateway.settings;
    address = settings
      ? configuration.formatAddress(settings.listen.peers)
      : '';
    const transport = protocol.createHttpTransport({});
    const ends = [1, 2].map(number => ({
      upstream: `u-${number}/1`,
      ageMs: 1_000 - 300 * number,
      sentAgeMs: 1_050 - 300 * number,
    }));
    await protocol.callPeer(
      transport.send,
      address,
      'share_suspect_parts',
      {parts: [{part: 'bad', workspace: 'north', ends}]},
      1_000,
    );
    transport.close();
  });

  afterEach(async () => {
    await gateway.stop();
  });

  it('lists what is held, and lifts it', async () => {
    const listed = await run(address);
    chai.expect(listed.code).equal(0);
    chai
      .expect(listed.out)
      .match(/^bad: held for \d+ s, .* north, .* u-1\/1 u-2\/1\n$/);
    chai.expect((await run(address, '--lift', 'bad')).code).equal(0);
    chai.expect(await run(address)).eql({code: 0, out: '', err: ''});
  });

  it('says that a part to lift is not held', async () => {
    const lifted = await run(address, '--lift', 'other');
    chai.expect([lifted.code, lifted.err]).eql([1, 'part other is not held\n']);
  });

  it('prints JSON', async () => {
    const {parts} = JSON.parse((await run(address, '--json')).out) as {
      parts: readonly {part: string}[];
    };
    chai.expect(parts.map(({part}) => part)).eql(['bad']);
  });

  it('refuses a wrong command line, and says that no instance answers', async () => {
    chai.expect((await run()).code).equal(2);
    chai.expect((await run(address, '--lfit', 'bad')).code).equal(2);
    chai.expect((await run('127.0.0.1:1')).code).equal(3);
  });
});
