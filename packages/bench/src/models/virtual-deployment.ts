/**
 * Entry instances in virtual time, with all parts that call the object API: the
 * configuration, leased tasks, claims and bills. A request only makes the calls
 * that it causes.
 */
import * as fakes from '@amaranthknot/fakes';
import * as ledger from '@amaranthknot/ledger';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as callCounter from './call-counter.js';

export const ENVIRONMENT = 'production';

/** Longest duration of a call to the platform, in milliseconds. */
const MAX_STORE_CALL_MS = 8;

/** Leased tasks: one rollout, and the control of two pools. */
const LEASED_TASKS = ['rollout/model-00', 'pool/model-00', 'pool/model-01'];

interface Instance {
  readonly id: string;
  readonly address: string;
  readonly follower: membership.ConfigurationFollower;
  readonly leasedTasks: membership.LeasedTaskRunner;
  readonly claims: ledger.ClaimLedger;
  readonly bills: ledger.BillLedger;
  readonly server: protocol.PeerServer;
}

/** Entry instances of a deployment with its platform. */
export class VirtualDeployment {
  readonly clock = new fakes.VirtualClock();
  readonly counter = new callCounter.CallCounter(this.clock);
  readonly store: fakes.MemoryObjectStore;
  isOut = false;
  /** Requests refused because the platform was unavailable. */
  refused = 0;
  private readonly instances: Instance[] = [];
  private readonly stopping = new AbortController();
  private requests = 0;

  constructor(
    private readonly random: () => number,
    private readonly zones: readonly string[],
  ) {
    this.store = new fakes.MemoryObjectStore({
      clock: this.clock,
      delayMs: () => 1 + random() * (MAX_STORE_CALL_MS - 1),
      fault: () => (this.isOut ? 'down' : 'none'),
    });
  }

  /** Creates and starts `count` instances. */
  start(count: number): void {
    for (let index = 0; index < count; index++) {
      this.instances.push(this.create(index));
    }
    for (const instance of this.instances) {
      void instance.follower.start();
      void instance.bills.run(this.stopping.signal);
      for (const name of LEASED_TASKS) {
        instance.leasedTasks.add(name, term =>
          this.clock.sleep(Infinity, term.signal),
        );
      }
    }
  }

  /** Stops all background loops. */
  stop(): void {
    this.stopping.abort();
    for (const {follower, leasedTasks} of this.instances) {
      void follower.stop();
      void leasedTasks.stop();
    }
  }

  /** Makes a request at a random instance; with `isClaimed` it runs only once. */
  async request(isClaimed: boolean): Promise<void> {
    const index = Math.floor(this.random() * this.instances.length);
    const instance = this.instances[index];
    const id = `request-${this.requests++}`;
    const identity = ledger.identifyRequest('workspace', id, id);
    if (!instance || instance.bills.mayAccept().isLeft()) {
      this.refused++;
      return;
    }
    if (isClaimed && !(await this.runOnce(instance, identity))) {
      this.refused++;
      return;
    }
    await instance.bills.record({
      identity: identity.name,
      workspace: 'workspace',
      model: 'model-00',
      version: 'v1',
      cost: 1,
      tokens: 100,
      atWallMs: this.clock.wallTime(),
    });
  }

  private async runOnce(
    {claims}: Instance,
    identity: ledger.RequestIdentity,
  ): Promise<boolean> {
    const result = await claims.claim(identity, 'body');
    if (result.kind !== 'granted') {
      return false;
    }
    await claims.finish(result.claim, {
      kind: 'answer',
      status: 200,
      body: 'ok',
    });
    return true;
  }

  /** The object API as instances see it; counts each call. */
  private createCountingStore(): ports.ObjectStore {
    const {store, counter} = this;
    return {
      get: (kind, name) => {
        counter.record('get', kind);
        return store.get(kind, name);
      },
      list: (kind, prefix) => {
        counter.record('list', kind);
        return store.list(kind, prefix);
      },
      create: (kind, name, value) => {
        counter.record('create', kind);
        return store.create(kind, name, value);
      },
      update: (kind, name, value, version) => {
        counter.record('update', kind);
        return store.update(kind, name, value, version);
      },
      delete: (kind, name, version) => {
        counter.record('delete', kind);
        return store.delete(kind, name, version);
      },
      watch: (kind, after, waitMs, signal) => {
        counter.record('watch', kind);
        return store.watch(kind, after, waitMs, signal);
      },
    };
  }

  private listInstances(): readonly ports.ListedInstance[] {
    return this.instances.map(({id, address}, index) => ({
      id,
      address,
      role: 'entry',
      state: 'live',
      zone: this.zones[index % this.zones.length] ?? '',
      serves: [],
    }));
  }

  private create(index: number): Instance {
    const id = `entry-${index}`;
    const address = `10.0.0.${index}:80`;
    const zone = this.zones[index % this.zones.length] ?? '';
    const {clock, random} = this;
    const store = this.createCountingStore();
    const peers = new membership.PeerTable({
      id,
      address,
      zone,
      state: 'live',
      incarnation: clock.wallTime(),
    });
    const follower = new membership.ConfigurationFollower({
      environment: ENVIRONMENT,
      store,
      instances: {
        list: () => Promise.resolve(purify.Right(this.listInstances())),
      },
      transport: (to, text) => this.deliver(to, text),
      peers,
      clock,
      random,
    });
    let tokens = 0;
    const createToken = () => `${id}-${tokens++}`;
    return {
      id,
      address,
      follower,
      leasedTasks: new membership.LeasedTaskRunner({
        store,
        clock,
        random,
        peers,
        createToken,
      }),
      claims: new ledger.ClaimLedger({
        store,
        clock,
        random,
        newToken: createToken,
        incarnation: `${id}.1`,
      }),
      bills: new ledger.BillLedger({
        store,
        clock,
        random,
        incarnation: `${id}.1`,
        // Copies are sent to peers, so they make no calls to the platform.
        copyToPeers: () => Promise.resolve(2),
      }),
      server: protocol.createPeerServer(follower.handlers()),
    };
  }

  private async deliver(
    address: string,
    text: string,
  ): Promise<purify.Either<protocol.PeerError, string>> {
    const to = this.instances.find(each => each.address === address);
    await this.clock.sleep(1 + this.random());
    return to
      ? purify.Right(await to.server.handle(text))
      : purify.Left({
          code: 'not_sent',
          message: `no instance has the address ${address}`,
        });
  }
}
