import * as chai from 'chai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as processes from './support/processes.js';

const STEPS = [0.1, 0.4, 1];

/** Requests that are sent concurrently. */
const BATCH = 30;

describe('a rollout on three instances', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  beforeEach(async () => {
    const document = fixtures.createDocument({rolloutSteps: STEPS});
    deployment = await fixtures.startDeployment({document});
  });
  afterEach(() => deployment.stop());

  const rateVersion = (version: string, rating: number) => {
    deployment.fakes.platform.rate = ({model}) =>
      model === `small@${version}` ? rating : 1;
  };

  /** Sends requests until a condition holds; counts answers by version. */
  const sendUntil = async (
    addresses: readonly string[],
    holds: () => boolean,
  ): Promise<ReadonlyMap<string, number>> => {
    const counts = new Map<string, number>();
    await processes.waitUntil('the rollout has progressed', async () => {
      const answers = await Promise.all(
        Array.from({length: BATCH}, (_, i) =>
          fixtures.chat(addresses[i % addresses.length]!, 'hello', {
            model: 'small',
            workspace: 'west',
          }),
        ),
      );
      for (const answer of answers) {
        const model = String(answer.json.model);
        counts.set(model, (counts.get(model) ?? 0) + 1);
      }
      return holds();
    });
    return counts;
  };

  const findActiveSmallModel = (index: number) =>
    deployment.instances[index]!.resolve('follower')
      .activeConfiguration()!
      .document.models.find(model => model.name === 'small')!;

  const isWithdrawnEverywhere = () =>
    [0, 1, 2].every(index =>
      findActiveSmallModel(index).versions.some(
        version => version.name === 'v2' && version.state === 'withdrawn',
      ),
    );

  const hasEvent = (name: string) =>
    deployment.instances.some(instance =>
      instance
        .resolve('events')
        .read()
        .some(event => event.name === name),
    );

  // Every answer of the new version is bad. Callers of all instances get a few
  // of them during its first step; then it is withdrawn everywhere.
  it('stops a bad version and withdraws it everywhere', async () => {
    rateVersion('v2', 0);
    const counts = await sendUntil(deployment.addresses, isWithdrawnEverywhere);
    chai.expect(hasEvent('rollout_stopped')).equal(true);
    const bad = counts.get('small@v2') ?? 0;
    chai.expect(bad).within(1, 60);
    const after = await sendUntil(deployment.addresses, () => true);
    chai.expect([...after.keys()]).eql(['small@v1']);
  });

  // The instance that drives the rollout stops half way. Another one takes the
  // leased task and continues from the stored state, with a higher fencing
  // number.
  it('is resumed by another instance when its driver stops', async () => {
    const isDriver = (index: number) =>
      deployment.instances[index]!.resolve('leasedTaskRunner').heldTasks()
        .length > 0;
    await sendUntil(deployment.addresses, () => hasEvent('rollout_step'));
    const driver = [0, 1, 2].find(isDriver)!;
    const readStored = async () => {
      const {store} = deployment.fakes.platform;
      const listing = (await store.list('rollout_state')).unsafeCoerce();
      return listing.objects[0]!.value as {
        fencing: number;
        state: {rated: number};
      };
    };
    const before = await readStored();
    await deployment.instances[driver]!.stop();
    const others = [0, 1, 2].filter(index => index !== driver);
    const addresses = others.map(index => deployment.addresses[index]!);
    await sendUntil(addresses, () => others.some(isDriver));
    await processes.waitUntil('the successor writes', async () => {
      await sendUntil(addresses, () => true);
      return (await readStored()).fencing > before.fencing;
    });
    const after = await readStored();
    chai.expect(after.state.rated).greaterThanOrEqual(before.state.rated);
  });
});
