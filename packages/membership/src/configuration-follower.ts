/**
 * Keeps one instance's configuration up to date: a few instances of each zone
 * watch the platform, and all exchange generations with random peers.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as configurationRelay from './configuration-relay.js';
import type * as configurationUpdate from './configuration-update.js';
import * as exchangePacer from './exchange-pacer.js';
import * as headWatcher from './head-watcher.js';
import * as leaving from './announce-leaving.js';
import * as peerDiscovery from './peer-discovery.js';
import type * as peerTable from './peer-table.js';

/**
 * Number of instances of each zone that watch the platform. Three, so that two
 * may die unnoticed for a while, and so that in a deployment of 7 instances all
 * watch and none depends on which peers it happens to draw. With 9 zones that
 * is 27 in all, whatever the size of the fleet.
 */
export const WATCHERS_PER_ZONE = 3;

/**
 * Time between checks whether to watch, in milliseconds; a check costs no call.
 */
const WATCH_CHECK_MS = 500;

/**
 * Consecutive failed exchanges after which an instance watches the platform
 * itself. If it is cut off from its peers, it can't learn of a change
 * otherwise. In an outage of the platform alone, exchanges succeed, so this
 * adds no load to it.
 */
const FAILURES_TO_WATCH = 2;

/** Peers asked at start, before the platform. */
const START_PEERS = 3;

/** Dependencies and settings of a `ConfigurationFollower`. */
export interface ConfigurationFollowerOptions {
  readonly environment: string;
  readonly store: ports.ObjectStore;
  readonly instances: ports.InstanceList;
  readonly transport: protocol.PeerTransport;
  readonly peers: peerTable.PeerTable;
  readonly clock: ports.Clock;
  readonly random: () => number;
  /**
   * Addresses from the settings, called while the platform's list is
   * unavailable.
   */
  readonly seeds?: readonly string[];
  /** Called each time a higher generation becomes active, and only then. */
  readonly onChange?: configurationRelay.ConfigurationRelayOptions['onChange'];
}

/** Follows the accepted configuration of one environment. */
export class ConfigurationFollower {
  private readonly relay: configurationRelay.ConfigurationRelay;
  private readonly stopping = new AbortController();
  private readonly pacer: exchangePacer.ExchangePacer;
  private failures = 0;
  private readonly watcher: headWatcher.HeadWatcher;
  private readonly discovery: peerDiscovery.PeerDiscovery;
  private loops: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.relay = new configurationRelay.ConfigurationRelay({
      ...options,
      onChange: (updated, origin) => {
        this.pacer.expedite();
        options.onChange?.(updated, origin);
      },
    });
    this.watcher = new headWatcher.HeadWatcher({
      ...options,
      relay: this.relay,
      signal: this.stopping.signal,
    });
    this.discovery = new peerDiscovery.PeerDiscovery(options);
    this.pacer = new exchangePacer.ExchangePacer(options.clock, options.random);
  }

  /**
   * Asks peers, then the platform if no peer has a configuration, and keeps
   * following until `stop`.
   */
  async start(): Promise<void> {
    await this.discovery.refresh();
    await this.askPeers();
    if (this.relay.generation() === 0) {
      await this.watcher.read();
    }
    this.loops = Promise.all([
      this.repeat(() => this.watch()),
      this.repeat(() => this.exchange()),
      this.repeat(() => this.discover()),
    ]);
  }

  /** Stops following; the active configuration is kept. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.pacer.stop();
    await this.loops;
  }

  /**
   * Announces to peers that this instance leaves, so that none offers it to
   * callers.
   */
  announceLeaving(): Promise<void> {
    return leaving.announceLeaving(this.options);
  }

  /** The active configuration; undefined before the first. */
  activeConfiguration(): configurationUpdate.ActiveConfiguration | undefined {
    return this.relay.activeConfiguration();
  }

  /** The active generation; 0 before the first. */
  activeGeneration(): number {
    return this.relay.generation();
  }

  /** Age of the last confirmation, in milliseconds; undefined if never. */
  confirmedAgeMs(): number | undefined {
    return this.relay.freshness.confirmedAgeMs(this.options.clock.now());
  }

  /** What this instance knows of its configuration. */
  standing(): protocol.Standing {
    if (!this.relay.activeConfiguration()) {
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
   * Whether new work may start. Not while isolated: a change that this instance
   * has not seen may have withdrawn a version or taken a zone out.
   */
  mayTakeWork(): boolean {
    const standing = this.standing();
    return standing === 'confirmed' || standing === 'platform_out';
  }

  /** Handlers for the messages of other instances. */
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
    const handleLeaving = ({from}: protocol.Params<'leaving'>) => {
      peers.recordContact(from, clock.now());
      return {};
    };
    return {
      exchange_generations: exchangeGenerations,
      fetch_sections: fetchSections,
      report_generation: reportGeneration,
      list_peers: listPeers,
      leaving: handleLeaving,
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
      decisions.rankByRendezvous(key, ids, WATCHERS_PER_ZONE).includes(id)
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

  private sleep(ms: number): Promise<void> {
    return this.options.clock.sleep(ms, this.stopping.signal);
  }

  private jitter(ms: number): number {
    return ms * (0.9 + 0.2 * this.options.random());
  }

  private async watch(): Promise<void> {
    if (!this.isWatcher()) {
      await this.sleep(WATCH_CHECK_MS);
      return;
    }
    const isAnswered = await this.watcher.poll();
    if (!isAnswered) {
      // Called no more often than a watch that works, and with jitter: neither
      // an outage nor its end raises the rate of calls.
      await this.sleep(this.jitter(headWatcher.WATCH_TIMEOUT_MS));
    }
  }

  private async exchange(): Promise<void> {
    const {peers, clock, random} = this.options;
    peers.expire(clock.now());
    const boundMs = this.relay.boundMs(this.countWatchers());
    const isInDoubt = (this.confirmedAgeMs() ?? Infinity) > boundMs / 2;
    // In doubt, only peers that answered lately are asked: waiting for others
    // would take too long.
    const peer = isInDoubt ? peers.draw(random, 0) : peers.draw(random);
    this.pacer.begin();
    if (peer) {
      const isAnswered = await this.relay.exchangeWith(peer);
      this.failures = isAnswered ? 0 : this.failures + 1;
    }
    await this.pacer.wait(isInDoubt ? boundMs : undefined);
  }

  private async discover(): Promise<void> {
    await this.sleep(this.jitter(this.discovery.intervalMs()));
    await this.discovery.refresh();
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
