/**
 * A fleet of configuration followers in virtual time, for tests of scenarios
 * and histories.
 */
import type * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import * as distribution from 'pure-rand/distribution/uniformFloat64';

export const ENVIRONMENT = 'production';

export const createRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(source);
};

/** A document in which the version of the model `small` is named `mark`. */
export const createDocument = (mark: string): configuration.Document => ({
  models: [
    {
      name: 'small',
      costPerThousandTokens: 1,
      defaultVersion: mark,
      versions: [{name: mark, state: 'active'}],
    },
    {
      name: 'tall',
      costPerThousandTokens: 9,
      defaultVersion: 'v1',
      versions: [{name: 'v1', state: 'active'}],
    },
  ],
  cascades: [{name: 'usual', stages: ['small', 'tall']}],
  services: [],
  workspaces: [],
  zones: [],
  rollouts: [],
});

/** One instance, with switches that cut it off. */
export interface Member {
  readonly id: string;
  readonly peer: protocol.Peer;
  readonly peers: membership.PeerTable;
  readonly follower: membership.ConfigurationFollower;
  /** Generations in the order in which they became active. */
  readonly activated: number[];
  isCutFromPlatform: boolean;
  isCutFromPeers: boolean;
  isDown: boolean;
}

const NO_ANSWER: protocol.PeerError = {code: 'unknown', message: 'cut'};
const DOWN = {code: 'unavailable', message: 'cut'} as const;

/** The store as one instance sees it: unavailable while it is cut off. */
export const guardStore = (
  store: ports.ObjectStore,
  isCut: () => boolean,
): ports.ObjectStore => {
  const guard =
    <A extends unknown[], T>(
      call: (...args: A) => Promise<ports.StoreResult<T>>,
    ) =>
    async (...args: A): Promise<ports.StoreResult<T>> => {
      if (isCut()) {
        return purify.Left(DOWN);
      }
      const result = await call(...args);
      return isCut() ? purify.Left({...DOWN, code: 'unknown'}) : result;
    };
  return {
    get: guard(store.get.bind(store)),
    list: guard(store.list.bind(store)),
    create: guard(store.create.bind(store)),
    update: guard(store.update.bind(store)),
    delete: guard(store.delete.bind(store)),
    watch: guard(store.watch.bind(store)),
  };
};

/** Instances of some zones, a platform and the network between them. */
export class Fleet {
  readonly clock = new fakes.VirtualClock();
  readonly store = new fakes.MemoryObjectStore({clock: this.clock});
  readonly members: Member[] = [];
  isListOut = false;
  private readonly random: () => number;

  constructor(
    seed: number,
    private readonly zones: readonly string[],
  ) {
    this.random = createRandom(seed);
  }

  /** Adds an instance; the caller starts it. */
  add(clock: ports.Clock = this.clock): Member {
    const index = this.members.length;
    const id = `entry-${index}`;
    const zone = this.zones[index % this.zones.length] ?? 'north';
    const peer: protocol.Peer = {
      id,
      zone,
      address: `10.0.0.${index}:80`,
      state: 'live',
      incarnation: this.clock.wallTime(),
    };
    const activated: number[] = [];
    const peers = new membership.PeerTable(peer);
    const follower = new membership.ConfigurationFollower({
      environment: ENVIRONMENT,
      store: guardStore(this.store, () => member.isCutFromPlatform),
      instances: {list: () => Promise.resolve(this.list())},
      transport: (address, text, timeoutMs) =>
        this.send(member, address, text, timeoutMs),
      peers,
      clock,
      random: this.random,
      seeds: this.members.map(each => each.peer.address),
      onChange: ({generation}) => activated.push(generation),
    });
    const member: Member = {
      id,
      peer,
      peers,
      follower,
      activated,
      isCutFromPlatform: false,
      isCutFromPeers: false,
      isDown: false,
    };
    this.members.push(member);
    return member;
  }

  /** Adds and starts `count` instances, and gives them 5 s to settle. */
  async grow(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      void this.add().follower.start();
    }
    await this.clock.advance(5_000);
  }

  /**
   * Publishes a document, and advances the clock until the platform answered.
   */
  async publish(mark: string, expectedGeneration?: number) {
    const publishing = membership.publishDocument(
      this.store,
      ENVIRONMENT,
      createDocument(mark),
      expectedGeneration,
    );
    await this.clock.advance(10);
    return await publishing;
  }

  /**
   * Whether this generation or a later one is active on all instances that are
   * up.
   */
  isActive(generation: number): boolean {
    return this.members
      .filter(member => !member.isDown)
      .every(member => member.follower.activeGeneration() >= generation);
  }

  /** Kills an instance: its loops end, and calls to it get no answer. */
  kill(member: Member): void {
    member.isDown = true;
    void member.follower.stop();
  }

  private list(): ports.StoreResult<ports.ListedInstance[]> {
    if (this.isListOut) {
      return purify.Left(DOWN);
    }
    return purify.Right(
      this.members.map(({id, peer}) => ({
        id,
        role: 'entry' as const,
        state: 'live' as const,
        address: peer.address,
        zone: peer.zone,
        serves: [],
      })),
    );
  }

  private async send(
    from: Member,
    address: string,
    text: string,
    timeoutMs: number,
  ): Promise<purify.Either<protocol.PeerError, string>> {
    const to = this.members.find(member => member.peer.address === address);
    const isCut = () =>
      !to || to.isDown || to.isCutFromPeers || from.isCutFromPeers;
    await this.clock.sleep(1 + this.random() * 4);
    if (!to || isCut()) {
      await this.clock.sleep(timeoutMs);
      return purify.Left(NO_ANSWER);
    }
    const server = protocol.createPeerServer(to.follower.handlers());
    const answer = await server.handle(text);
    await this.clock.sleep(1 + this.random() * 4);
    return isCut() ? purify.Left(NO_ANSWER) : purify.Right(answer);
  }
}

/** A fleet, by default of 7 instances in 4 zones, with a first document. */
export const createFleet = async (
  seed: number,
  count = 7,
  zones: readonly string[] = ['a', 'b', 'c', 'd'],
): Promise<Fleet> => {
  const fleet = new Fleet(seed, zones);
  await fleet.publish('v1');
  await fleet.grow(count);
  return fleet;
};
