import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as timeline from '../src/commands/timeline.js';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

describe('the timeline command', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  before(async () => {
    deployment = await fixtures.startDeployment();
  });
  after(() => deployment.stop());

  const run = async (args: readonly string[]) => {
    const [first] = deployment.instances;
    const resolve = first!.resolve;
    const command = timeline.createTimeline(() =>
      purify.Right({
        environment: 'test',
        store: resolve('store'),
        instances: resolve('instanceList'),
        transport: resolve('transport').send,
        clock: resolve('options').clock,
        close: () => undefined,
      }),
    );
    let out = '';
    let err = '';
    const code = await command.run(['--settings', 'any', ...args], {
      out: text => (out += text),
      err: text => (err += text),
      isTerminal: false,
      readFile: () => '',
    });
    return {code, out, err};
  };

  // A booking is retried on another instance. Its events must appear in order:
  // claimed on one instance, repeated on the other.
  it('merges the events of a workspace from all instances', async () => {
    await fixtures.book(deployment.addresses[0]!, 'key-1');
    await fixtures.book(deployment.addresses[2]!, 'key-1');
    const {code, out} = await run(['--workspace', 'north']);
    chai.expect(code).equal(0);
    const names = out
      .split('\n')
      .map(line => line.split(/ +/).slice(1, 3).join(' '))
      .filter(line => /claim/.test(line));
    chai.expect(names).eql(['entry-1 claim_granted', 'entry-3 claim_repeated']);
  });

  it('draws the events of one request as SVG', async () => {
    const answer = await fixtures.chat(deployment.addresses[1]!, 'hello');
    const file = path.join(os.tmpdir(), `timeline-${process.pid}.svg`);
    const {code, out} = await run(['--request', answer.json.id, '--svg', file]);
    const picture = fs.readFileSync(file, 'utf8');
    fs.rmSync(file);
    chai.expect(code).equal(0);
    chai.expect(out.match(/request_received/g)).length(1);
    chai.expect(out).match(/answer_given/);
    chai
      .expect(picture.match(/<circle/g))
      .length(out.trim().split('\n').length);
  });

  // One instance is gone. The events of the others are still printed, and the
  // command names the missing one.
  it('names instances that do not answer', async () => {
    deployment.fakes.platform.register({
      id: 'entry-9',
      role: 'entry',
      state: 'live',
      address: '127.0.0.1:1',
      zone: 'zone-a',
      serves: [],
    });
    const {code, out, err} = await run([]);
    chai.expect(code).equal(1);
    chai.expect(out + err).match(/no answer from entry-9/);
    chai.expect(out + err).match(/instance_started/);
  });

  it('refuses an unknown filter and suggests the nearest one', async () => {
    const {code, err} = await run(['--workspce', 'north']);
    chai.expect(code).equal(2);
    chai.expect(err).match(/--workspace/);
  });
});
