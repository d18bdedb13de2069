/**
 * Keeps one instance's configuration up to date: a few instances of each zone
 * watch the platform, all exchange generations with random peers.
 */
import type * as platform from '@amaranthknot/platform';
import * as protocol from '@amaranthknot/protocol';
import * as configurationHead from './configuration-head.js';
import * as configurationRelay from './configuration-relay.js';
import type * as configurationStep from './configuration-step.js';
import type * as peersModule from './peers.js';
import * as rendezvous from './rendezvous.js';

/**
 * Instances of each zone that watch the platform. Two, so that one may die
 * unnoticed for a while; with 9 zones 18 in all, whatever the fleet's size.
 */
export const WATCHERS_PER_ZONE = 2;

/**
 * Longest wait of one watch, in milliseconds. Each answer confirms the
 * configuration as of the call's start, so ages stay below twice this plus a
 * delay: well inside the 2.5 s after which new work stops. 18 watchers make 36
 * calls/s of the platform's 2,000.
 */
const WATCH_MS = 500;

/** Time between looks at whether to watch, in milliseconds; costs no call. */
const WATCH_CHECK_MS = 500;

/**
 * Time between plain reads of the head, in milliseconds, in case a watch lost
 * an event: the platform bounds the events that it keeps.
 */
const HEAD_READ_MS = 10_000;

/** Time between exchanges in milliseconds, spread by a tenth. */
const EXCHANGE_MS = 1_000;

/**
 * Exchanges that may follow each other at once after a change, and their rate
 * per second. Early exchanges bring a lone change to all in a moment; the rate
 * bounds them when changes come each second, at 4 KB/s a node.
 */
const EARLY_EXCHANGES = 3;
const EXCHANGES_PER_S = 1.25;

/**
 * Failed exchanges in a row after which an instance watches the platform
 * itself. Cut off from its peers it can not learn of a change otherwise; in an
 * outage of the platform alone exchanges work, so nobody piles onto it.
 */
const FAILURES_TO_WATCH = 2;

/**
 * Time between reads of the platform's list, and the rate of the whole fleet
 * that it must not exceed: 1,000 instances read it every 50 s.
 */
const LIST_MS = 5_000;
const LISTS_PER_S = 20;

/** Peers asked at a start, before the platform. */
const START_PEERS = 3;

/** Peers told at once that this instance leaves; news tells the others. */
const LEAVE_PEERS = 8;

/** Parts that a follower works with. */
export interface ConfigurationFollowerOptions {
  readonly environment: string;
  readonly store: platform.ObjectStore;
  readonly instances: platform.InstanceList;
  readonly transport: protocol.PeerTransport;
  readonly peers: peersModule.Peers;
  readonly clock: platform.Clock;
  readonly random: () => number;
  /** Addresses from the settings, asked while the list is out. */
  readonly seeds?: readonly string[];
  /** Called each time a higher generation is in force, and only then. */
  readonly onChange?: configurationRelay.ConfigurationRelayOptions['onChange'];
}

/** Follows the accepted configuration of an environment. */
export class ConfigurationFollower {
  private readonly relay: configurationRelay.ConfigurationRelay;
  private readonly stopping = new AbortController();
  private wakeExchange = new AbortController();
  private tokens = EARLY_EXCHANGES;
  private tokensAt = 0;
  private failures = 0;
  private headVersion: number | undefined;
  private headReadAt = -Infinity;
  private loops: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.relay = new configurationRelay.ConfigurationRelay({
      ...options,
      onChange: (taken, origin) => {
        this.wakeExchange.abort();
        options.onChange?.(taken, origin);
      },
    });
  }

  /** Asks peers and the platform once, then keeps following until `stop`. */
  async start(): Promise<void> {
    await this.readList();
    await this.askPeers();
    if (this.relay.generation() === 0) {
      await this.readHead();
    }
    this.loops = Promise.all([
      this.repeat(() => this.watch()),
      this.repeat(() => this.exchange()),
      this.repeat(() => this.refreshList()),
    ]);
  }

  /** Stops following; the configuration stays as it is. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loops;
  }

  /** Tells peers that this instance leaves, so that none offers it. */
  async announceLeaving(): Promise<void> {
    const {peers, transport, random} = this.options;
    peers.leave();
    const told = peers
      .all()
      .filter(peer => peer.state !== 'dead')
      .map(peer => ({peer, order: random()}))
      .sort((a, b) => a.order - b.order)
      .slice(0, LEAVE_PEERS);
    await Promise.all(
      told.map(({peer}) =>
        protocol.callPeer(
          transport,
          peer.address,
          'leaving',
          {from: peers.self()},
          configurationRelay.MESSAGE_TIMEOUT_MS,
        ),
      ),
    );
  }

  /** The configuration in force; undefined before the first. */
  inForce(): configurationStep.ConfigurationInForce | undefined {
    return this.relay.inForce();
  }

  /** The generation in force; 0 before the first. */
  generationInForce(): number {
    return this.relay.generation();
  }

  /** Age of the last confirmation in milliseconds; undefined for never. */
  confirmedAgeMs(): number | undefined {
    return this.relay.freshness.confirmedAgeMs(this.options.clock.now());
  }

  /** What this instance knows of its configuration. */
  standing(): protocol.Standing {
    if (!this.relay.inForce()) {
      return 'starting';
    }
    const {clock, peers} = this.options;
    return this.relay.freshness.judge(
      clock.now(),
      peers.zones(),
      this.relay.boundMs(this.countWatchers()),
    );
  }

  /**
   * Whether new work may start. Not while isolated: an accepted change may
   * have withdrawn a version or taken a zone out without this instance.
   */
  mayTakeWork(): boolean {
    const standing = this.standing();
    return standing === 'confirmed' || standing === 'platform_out';
  }

  /** Functions that answer the messages of other instances. */
  handlers(): protocol.Handlers {
    const {peers, clock} = this.options;
    const exchangeGenerations = (
      params: protocol.Params<'exchange_generations'>,
    ) => this.relay.handleExchange(params);
    const fetchSections = (params: protocol.Params<'fetch_sections'>) =>
      this.relay.handleFetch(params);
    const reportGeneration = () => ({
      from: peers.self(),
      generation: this.relay.generation(),
      standing: this.standing(),
    });
    const listPeers = () => ({peers: [peers.self(), ...peers.all()]});
    const takeLeaving = ({from}: protocol.Params<'leaving'>) => {
      peers.hear(from, clock.now());
      return {};
    };
    return {
      exchange_generations: exchangeGenerations,
      fetch_sections: fetchSections,
      report_generation: reportGeneration,
      list_peers: listPeers,
      leaving: takeLeaving,
    };
  }

  /** Whether this instance watches the platform. */
  isWatcher(): boolean {
    const {environment, peers} = this.options;
    const {id, zone} = peers.self();
    const ids = peers.candidates(zone).map(peer => peer.id);
    const key = `watch/${environment}/${zone}`;
    return (
      this.failures >= FAILURES_TO_WATCH ||
      rendezvous.rankByRendezvous(key, ids, WATCHERS_PER_ZONE).includes(id)
    );
  }

  private countWatchers(): number {
    const {peers} = this.options;
    const sizes = new Map<string, number>();
    for (const {zone} of peers.candidates()) {
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
    }
    return [...sizes.values()]
      .map(size => Math.min(size, WATCHERS_PER_ZONE))
      .reduce((sum, size) => sum + size, 0);
  }

  private async repeat(step: () => Promise<void>): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await step();
    }
  }

  private sleep(ms: number, signal?: AbortSignal): Promise<void> {
    const signals = [this.stopping.signal, ...(signal ? [signal] : [])];
    return this.options.clock.sleep(ms, AbortSignal.any(signals));
  }

  private spread(ms: number): number {
    return ms * (0.9 + 0.2 * this.options.random());
  }

  private async watch(): Promise<void> {
    if (!this.isWatcher()) {
      await this.sleep(WATCH_CHECK_MS);
      return;
    }
    const isReadDue =
      this.headVersion === undefined ||
      this.options.clock.now() - this.headReadAt >= HEAD_READ_MS;
    const isAnswered = isReadDue
      ? await this.readHead()
      : await this.watchHead(this.headVersion ?? 0);
    if (!isAnswered) {
      // As seldom as a watch that works, and spread: neither an outage nor
      // its end raises the rate of calls.
      await this.sleep(this.spread(WATCH_MS));
    }
  }

  /** Reads the head; a stale answer changes nothing and confirms nothing. */
  private async readHead(): Promise<boolean> {
    const {store, environment, clock} = this.options;
    const read = await configurationHead.readHead(store, environment);
    const stored = read.orDefault(undefined);
    if (read.isLeft()) {
      return false;
    }
    this.headReadAt = clock.now();
    // Keeps the higher version: watching on from a stale one is harmless, but
    // would bring events again.
    this.headVersion = Math.max(this.headVersion ?? 0, stored?.version ?? 0);
    return stored === undefined || this.relay.adoptHead(stored.head);
  }

  private async watchHead(afterVersion: number): Promise<boolean> {
    const {store, environment, clock} = this.options;
    const startedAt = clock.now();
    const result = await store.watch(
      configurationHead.HEAD_KIND,
      afterVersion,
      WATCH_MS,
      this.stopping.signal,
    );
    if (result.isLeft() || this.stopping.signal.aborted) {
      return false;
    }
    const events = result.orDefault([]);
    const newest = events
      .filter(({type, object}) => type === 'put' && object.name === environment)
      .at(-1);
    if (newest) {
      const {head} = configurationHead.parseHead(newest.object);
      if (!(await this.relay.adoptHead(head))) {
        return false;
      }
    }
    const versions = events.map(event => event.object.version);
    this.headVersion = Math.max(afterVersion, ...versions);
    // As of the start: the answer may have been long on its way.
    this.relay.freshness.confirm(startedAt);
    return true;
  }

  private async exchange(): Promise<void> {
    const {peers, clock, random} = this.options;
    peers.tick(clock.now());
    const peer = peers.draw(random);
    this.takeToken();
    this.wakeExchange = new AbortController();
    if (peer) {
      const isAnswered = await this.relay.exchangeWith(peer);
      this.failures = isAnswered ? 0 : this.failures + 1;
    }
    const wake = this.wakeExchange.signal;
    const startedAt = clock.now();
    await this.sleep(this.spread(EXCHANGE_MS), wake);
    const waitMs = this.tokenWaitMs();
    const isEarly = clock.now() - startedAt < EXCHANGE_MS * 0.9;
    if (isEarly && waitMs > 0) {
      await this.sleep(Math.min(waitMs, EXCHANGE_MS));
    }
  }

  private takeToken(): void {
    const now = this.options.clock.now();
    const earned = ((now - this.tokensAt) / 1_000) * EXCHANGES_PER_S;
    this.tokens = Math.min(EARLY_EXCHANGES, this.tokens + earned) - 1;
    this.tokensAt = now;
  }

  private tokenWaitMs(): number {
    const since = this.options.clock.now() - this.tokensAt;
    const missing = 1 - this.tokens - (since / 1_000) * EXCHANGES_PER_S;
    return Math.max(0, (missing / EXCHANGES_PER_S) * 1_000);
  }

  private async refreshList(): Promise<void> {
    const size = this.options.peers.size();
    const wait = Math.max(LIST_MS, (size / LISTS_PER_S) * 1_000);
    await this.sleep(this.spread(wait));
    await this.readList();
  }

  private async readList(): Promise<void> {
    const {instances, peers, clock} = this.options;
    const listed = await instances.list();
    listed.ifRight(rows => peers.applyList(rows, clock.now()));
    if (listed.isLeft() && peers.all().length === 0) {
      await this.askSeeds();
    }
  }

  private async askSeeds(): Promise<void> {
    const {seeds = [], transport, peers, clock} = this.options;
    for (const address of seeds) {
      const answer = await protocol.callPeer(
        transport,
        address,
        'list_peers',
        {},
        configurationRelay.MESSAGE_TIMEOUT_MS,
      );
      answer.ifRight(({peers: rows}) => peers.applyNews(rows, clock.now()));
      if (answer.isRight()) {
        return;
      }
    }
  }

  private async askPeers(): Promise<void> {
    const {peers, random} = this.options;
    for (let asked = 0; asked < START_PEERS; asked++) {
      const peer = peers.draw(random);
      if (peer && (await this.relay.exchangeWith(peer))) {
        return;
      }
    }
  }
}
