/** One running gateway instance: its servers, its loops, its planned stop. */
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as protocol from '@amaranthknot/protocol';
import type * as gatewayComponents from './gateway-components.js';
import * as gatewayWiring from './gateway-wiring.js';
import * as instanceLoops from './instance-loops.js';

/** How often a planned stop looks whether its requests are done, in ms. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/**
 * Longest time for which an instance that has just started waits for the
 * store's answers before it starts what others than callers ask, in ms.
 */
const AUXILIARY_START_DELAY_MS = 150;

/** Part of the time for a planned stop in which requests may end. */
const DRAIN_SHARE = 0.95;

/**
 * Time after the order to stop during which all requests are still taken, in
 * milliseconds: callers that hold an older answer of the directory still come,
 * and a stream that begins now mostly ends in time. Later only those are taken
 * that must have ended before this instance does.
 */
const ACCEPT_ALL_MS = 1_500;

/**
 * Least time between the order to stop and the end, in milliseconds: peers
 * have stopped naming this instance by then.
 */
const MIN_STOP_MS = 800;

/** A gateway instance. */
export class GatewayInstance {
  private readonly get: gatewayComponents.GatewayResolver;
  private readonly shutdown = new AbortController();
  private auxiliaryServers: readonly gateway.AuxiliaryServer[] = [];
  private stopping = false;
  private readonly loops: instanceLoops.InstanceLoops;

  constructor(private readonly options: gatewayComponents.GatewayOptions) {
    this.get = gatewayWiring.wireGateway(options);
    this.loops = new instanceLoops.InstanceLoops(this.get, {
      isReady: () => this.isReady(),
      reload: () => {
        this.reload();
      },
    });
  }

  /** Starts serving. */
  async start(): Promise<void> {
    const {get} = this;
    get('log').info('instance_started', {uptimeMs: instanceLoops.uptimeMs()});
    const {signal} = this.shutdown;
    // The store is asked before this instance listens: its answers are on
    // their way meanwhile.
    void this.loops.followStore(signal);
    await get('callerServer').start();
    await Promise.race([
      get('state').whenSynced(),
      this.options.clock.sleep(AUXILIARY_START_DELAY_MS, signal),
    ]);
    await this.startAuxiliaryServers();
    this.loops.exchangeWithPeers(signal);
    void this.loops.tick(signal);
  }

  /** Starts what others ask this instance, after callers are taken. */
  private async startAuxiliaryServers(): Promise<void> {
    const {get} = this;
    const {listen} = this.options.settings.current;
    this.auxiliaryServers = [
      gateway.createReadinessServer(
        listen.readiness,
        platform.INSTANCE_PATHS.readiness,
        () => this.isReady(),
      ),
      gateway.createDirectoryServer(
        listen.directory,
        platform.INSTANCE_PATHS.directory,
        question => this.answerDirectory(question),
      ),
      gateway.createPeerServer(listen.peers, protocol.INNER_PATH, text =>
        get('peerServer').handle(text),
      ),
      ...(listen.metrics
        ? [
            gateway.createMetricsServer(listen.metrics, () =>
              get('metrics').format(),
            ),
          ]
        : []),
    ];
    await Promise.all(this.auxiliaryServers.map(server => server.start()));
  }

  /**
   * Stops gracefully: not ready and no longer named to callers at once; what
   * is in progress goes on to its end; new requests are refused once they
   * could be cut.
   */
  async stop(): Promise<void> {
    const {clock, settings} = this.options;
    const {get} = this;
    const startedAt = clock.now();
    const end =
      startedAt + settings.current.bounds.change.stopGraceMs * DRAIN_SHARE;
    this.stopping = true;
    const {inProgress} = get('gateway');
    get('log').info('instance_stopping', {inProgress});
    get('members').setPhase('leaving');
    get('gateway').beginStop({
      acceptsAllUntilMs: startedAt + ACCEPT_ALL_MS,
      endsAtMs: end,
    });
    void get('exchange').notifyWatchers();
    const isDone = () =>
      get('gateway').inProgress === 0 && clock.now() - startedAt >= MIN_STOP_MS;
    while (!isDone() && clock.now() < end) {
      await clock.sleep(DRAIN_CHECK_INTERVAL_MS);
    }
    this.shutdown.abort();
    await get('callerServer').stop(DRAIN_CHECK_INTERVAL_MS);
    get('log').info('instance_stopped', {
      tookMs: Math.round(clock.now() - startedAt),
      cut: get('gateway').inProgress,
    });
  }

  /**
   * Reads the settings again. Where this instance listens and who it is stay
   * as they were at its start.
   */
  reload(): void {
    const {settings} = this.options;
    const outcome = settings.reload();
    if (outcome.kind === 'changed') {
      const {seeds} = settings.current;
      this.get('log').info('settings_reloaded', {seeds: seeds.length});
    } else if (outcome.kind === 'refused') {
      const {reason} = outcome;
      this.get('log').warn('settings_refused', {reason});
    }
  }

  /** Ends at once, as a process that is killed does. */
  async kill(): Promise<void> {
    this.shutdown.abort();
    this.get('transport').close();
    await Promise.all([
      this.get('callerServer').stop(0),
      ...this.auxiliaryServers.map(server => server.stop()),
    ]);
  }

  /** Whether this instance takes callers. */
  isServing(): boolean {
    return this.get('members').self.phase === 'serving';
  }

  /** Whether an upstream is known here. */
  knowsUpstream(id: string): boolean {
    return this.get('catalog').find(id) !== undefined;
  }

  private isReady(): boolean {
    return !this.stopping && this.get('state').isSynced();
  }

  /**
   * Where a caller is to connect. An instance that has not heard of the fleet
   * yet gives no answer: its own address alone would bring it the callers of
   * all others, who would drop their connections to these.
   */
  private answerDirectory({
    zone,
    region,
    callerHost,
  }: gateway.DirectoryQuery): unknown {
    const {settings, clock} = this.options;
    const members = this.get('members');
    const now = clock.now();
    if (!members.hasWatcherList(now) && this.get('watching').isSettling()) {
      return undefined;
    }
    const {zones, bounds} = settings.current;
    const candidates = members
      .serving(now)
      .map(member => ({...member, region: zones.get(member.zone)}));
    const addresses = decisions
      .chooseAddresses(
        candidates,
        {zone, region, key: callerHost},
        platform.MAX_DIRECTORY_ADDRESSES,
      )
      .map(({callers}) => callers);
    return addresses.length === 0
      ? undefined
      : platform.formatDirectoryAnswer(addresses, bounds.addressMaxAgeMs);
  }
}
