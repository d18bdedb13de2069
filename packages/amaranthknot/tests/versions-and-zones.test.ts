import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

type Change = (document: configuration.Document) => configuration.Document;

const changeModel =
  (name: string, change: (model: configuration.Model) => configuration.Model) =>
  (document: configuration.Document): configuration.Document => ({
    ...document,
    models: document.models.map(model =>
      model.name === name ? change(model) : model,
    ),
  });

const setDefault = (version: string): Change =>
  changeModel('small', model => ({...model, defaultVersion: version}));

const withdraw = (version: string, successor: string): Change =>
  changeModel('small', model => ({
    ...model,
    defaultVersion: successor,
    versions: model.versions.map(found =>
      found.name === version
        ? {...found, state: 'withdrawn', successor}
        : found,
    ),
  }));

const setZone =
  (name: string, state: configuration.ZoneState): Change =>
  document => ({
    ...document,
    zones: document.zones.map(zone =>
      zone.name === name ? {...zone, state} : zone,
    ),
  });

describe('versions, sessions and zones on three instances', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  let document: configuration.Document;
  beforeEach(async () => {
    document = fixtures.createDocument();
    deployment = await fixtures.startDeployment();
  });
  afterEach(() => deployment.stop());

  /** Publishes a change; resolves when it is active on every instance. */
  const apply = async (change: Change): Promise<void> => {
    document = change(document);
    const {store} = deployment.fakes.platform;
    const published = await membership.publishDocument(store, 'test', document);
    const {generation} = published.unsafeCoerce();
    const isActive = () =>
      deployment.instances.every(
        one => one.resolve('follower').activeGeneration() >= generation,
      );
    while (!isActive()) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  };

  const ask = async (index: number, headers: Record<string, string>) => {
    const answer = await fixtures.chat(deployment.addresses[index]!, 'hello', {
      workspace: 'north',
      model: 'answers',
      headers,
    });
    chai.expect(answer.status, answer.text).equal(200);
    return answer;
  };

  const versionOfSmall = (token: string): string => {
    const payload = Buffer.from(token.split('.')[1]!, 'base64url').toString();
    return (JSON.parse(payload) as {pins: {small: string}}).pins.small;
  };

  // A session starts on v1, then the default moves to v2. On every instance the
  // session must stay on v1, by its token or by the session id of its caller.
  it('keeps a session on its version', async () => {
    const first = await ask(0, {});
    const token = first.headers.get('x-session-token')!;
    await ask(0, {'x-session-id': 'meetup-7'});
    await apply(setDefault('v2'));
    for (const index of [0, 1, 2]) {
      const byToken = await ask(index, {'x-session-token': token});
      const kept = byToken.headers.get('x-session-token')!;
      chai.expect(versionOfSmall(kept)).equal('v1');
      const byId = await ask(index, {'x-session-id': 'meetup-7'});
      const pinned = byId.headers.get('x-session-token')!;
      chai.expect(versionOfSmall(pinned)).equal('v1');
      const fresh = await ask(index, {});
      const started = fresh.headers.get('x-session-token')!;
      chai.expect(versionOfSmall(started)).equal('v2');
    }
  });

  // v1 is withdrawn while sessions are pinned to it. They move to its
  // successor, the same on every instance, and v1 gets no new work.
  it('moves sessions of a withdrawn version to its successor', async () => {
    const first = await ask(0, {'x-session-id': 'meetup-8'});
    const token = first.headers.get('x-session-token')!;
    await apply(withdraw('v1', 'v2'));
    for (const index of [0, 1, 2]) {
      for (const headers of [
        {'x-session-token': token},
        {'x-session-id': 'meetup-8'},
      ]) {
        const answer = await ask(index, headers);
        const kept = answer.headers.get('x-session-token')!;
        chai.expect(versionOfSmall(kept)).equal('v2');
        chai.expect(answer.json.model).not.equal('small@v1');
      }
    }
  });

  // Operators take zone-a out. No instance may start work there, not even the
  // one in zone-a, and callers are no longer sent to it.
  it('starts no work in a zone that is out', async () => {
    await apply(setZone('zone-a', 'out'));
    const [inside] = [...deployment.fakes.engines.values()];
    const before = inside!.started.length;
    for (let i = 0; i < 12; i++) {
      await ask(i % 3, {});
    }
    chai.expect(inside!.started.length).equal(before);
    const listed = await fixtures.send(
      deployment.addresses[1]!,
      '/v1/entry-instances?zone=zone-a',
      {method: 'GET'},
    );
    const zones = (listed.json as {instances: {zone: string}[]}).instances.map(
      (one: {zone: string}) => one.zone,
    );
    chai.expect(zones).not.include('zone-a');
  });

  // Operators bring zone-a back. The instance there prefers its own zone;
  // without a ramp all its work would go at once to an engine with cold caches.
  it('ramps up work in a zone that is back', async () => {
    const requests = 30;
    const [inside] = [...deployment.fakes.engines.values()];
    await apply(setZone('zone-a', 'out'));
    await new Promise(resolve => setTimeout(resolve, 200));
    await apply(setZone('zone-a', 'in'));
    const before = inside!.started.length;
    for (let i = 0; i < requests; i++) {
      await ask(0, {});
    }
    const first = inside!.started.length - before;
    chai.expect(first).lessThan(requests / 2);
    while (inside!.started.length === before + first) {
      await ask(0, {});
    }
  });

  // The platform lists an engine as leaving, while its process runs on. Once an
  // instance has read the list, it may start no new work there.
  it('starts no work on a leaving upstream', async () => {
    const {platform, engines} = deployment.fakes;
    const engine = engines.get('engine-1')!;
    const listed = deployment.instances[0]!.resolve('directory')
      .all()
      .find(one => one.id === 'engine-1')!;
    engine.fault = 'none';
    platform.register({...listed, state: 'leaving'});
    const isSeen = () =>
      deployment.instances.every(instance =>
        instance
          .resolve('directory')
          .all()
          .some(one => one.id === 'engine-1' && one.state === 'leaving'),
      );
    while (!isSeen()) {
      await ask(0, {});
    }
    const before = engine.started.length;
    for (let i = 0; i < 12; i++) {
      await ask(i % 3, {});
    }
    chai.expect(engine.started.length).equal(before);
  });

  // A caller sends a session token of another workspace, or a forged one.
  it('refuses session tokens that are forged or of another workspace', async () => {
    const first = await ask(0, {});
    const token = first.headers.get('x-session-token')!;
    const cases = [
      {workspace: 'south', token},
      {workspace: 'north', token: `${token}x`},
      {workspace: 'north', token: 'nonsense'},
    ];
    for (const {workspace, token: shown} of cases) {
      const answer = await fixtures.chat(deployment.addresses[1]!, 'hello', {
        workspace,
        headers: {'x-session-token': shown},
      });
      chai.expect(answer.status).equal(400);
      chai.expect(answer.json.error).include({
        code: 'invalid_session',
        ran: 'not_run',
      });
    }
  });

  // A workspace requests what its rules do not allow: a model that it may use
  // only inside a cascade, a version that is not the one named, then, after a
  // change of the rules, the cascade itself. Each must be answered as an
  // unknown model.
  it('runs only what the workspace is allowed', async () => {
    const tryModels = async (expected: Readonly<Record<string, number>>) => {
      for (const [model, status] of Object.entries(expected)) {
        for (const address of deployment.addresses) {
          const answer = await fixtures.chat(address, 'hello', {
            workspace: 'south',
            model,
          });
          chai.expect(answer.status, model).equal(status);
        }
      }
    };
    await tryModels({
      answers: 200,
      'small@v1': 200,
      small: 200,
      'small@v2': 404,
      large: 404,
    });
    await apply(found => ({
      ...found,
      workspaces: found.workspaces.map(workspace =>
        workspace.name === 'south'
          ? {
              ...workspace,
              allowed: [{kind: 'model', model: 'small', version: 'v2'}],
            }
          : workspace,
      ),
    }));
    await tryModels({answers: 404, 'small@v1': 404, small: 200, large: 404});
  });
});

describe('a request that waits for admission', () => {
  // With one slot, a second request waits behind a long one. Meanwhile its
  // version is withdrawn, and the withdrawal is active on the instance. If the
  // version were chosen before the wait, it would get new work seconds after
  // its withdrawal.
  it('does not start on a version withdrawn during the wait', async () => {
    const deployment = await fixtures.startDeployment({
      zones: ['zone-a'],
      limits: {maxInFlight: 1},
      tokenMs: 20,
    });
    const [address] = deployment.addresses;
    const ask = (prompt: string) =>
      fixtures.chat(address!, prompt, {model: 'small', workspace: 'west'});
    const long = ask('word '.repeat(60));
    await new Promise(resolve => setTimeout(resolve, 200));
    const waiting = ask('hello');
    await new Promise(resolve => setTimeout(resolve, 200));
    const {store} = deployment.fakes.platform;
    const document = withdraw('v1', 'v2')(fixtures.createDocument());
    const published = await membership.publishDocument(store, 'test', document);
    const {generation} = published.unsafeCoerce();
    const follower = deployment.instances[0]!.resolve('follower');
    while (follower.activeGeneration() < generation) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    chai.expect((await long).json.model).equal('small@v1');
    chai.expect((await waiting).json.model).equal('small@v2');
    await deployment.stop();
  });

  // A booking waits behind a long answer; meanwhile its workspace loses access
  // to the service. If access were checked only before the wait, the booking
  // would run.
  it('does not run if its workspace lost access during the wait', async () => {
    const deployment = await fixtures.startDeployment({
      zones: ['zone-a'],
      limits: {maxInFlight: 1},
      tokenMs: 20,
    });
    const [address] = deployment.addresses;
    const long = fixtures.chat(address!, 'word '.repeat(60));
    await new Promise(resolve => setTimeout(resolve, 200));
    const waiting = fixtures.book(address!, 'key-1');
    await new Promise(resolve => setTimeout(resolve, 200));
    const {store} = deployment.fakes.platform;
    const before = fixtures.createDocument();
    const document = {
      ...before,
      workspaces: before.workspaces.map(workspace => ({
        ...workspace,
        allowed: workspace.allowed.filter(({kind}) => kind !== 'service'),
      })),
    };
    const published = await membership.publishDocument(store, 'test', document);
    const {generation} = published.unsafeCoerce();
    const follower = deployment.instances[0]!.resolve('follower');
    while (follower.activeGeneration() < generation) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    chai.expect((await long).status).equal(200);
    chai.expect((await waiting).json.error.ran).equal('not_run');
    const services = [...deployment.fakes.services.values()];
    chai.expect(services.flatMap(service => service.runs)).eql([]);
    await deployment.stop();
  });
});
