/**
 * Runs one gateway instance: starts its servers and loops, and stops it
 * gracefully.
 *
 * A graceful stop first takes the instance out of the directory and then drains
 * it, so that callers that still hold its address are not cut off.
 */
import * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as describeFailure from '../describe-failure.js';
import type * as gatewayComponents from './gateway-components.js';
import * as gatewayWiring from './gateway-wiring.js';
import type * as stopRequest from '../stop-request.js';
import * as logHeldBodies from './log-held-bodies.js';
import * as logInternalError from './log-internal-error.js';
import * as instanceLoops from './instance-loops.js';

/** Interval at which a graceful stop checks for open requests, in ms. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/**
 * Longest time for which a new instance waits for the store's answers before it
 * starts the auxiliary servers, in ms.
 */
const AUXILIARY_START_DELAY_MS = 150;

/**
 * Fractions of the time for a graceful stop. Until the first, requests are
 * accepted that must end before this instance does; until the second, those in
 * progress may finish; until the third, callers may read their answers.
 */
const ACCEPT_FRACTION = 0.8;
const DRAIN_FRACTION = 0.95;
const CLOSE_FRACTION = 0.97;

/**
 * Least time before the end of the time for a stop at which connections are cut,
 * in milliseconds: other servers are closed and the log is written after it.
 */
const END_MARGIN_MS = 200;

/** Least time in which callers may read the answers of requests that are ended. */
const LAST_ANSWERS_MS = 150;

/**
 * Longest time for which a stopping instance accepts connections that lie in an
 * accept queue, in milliseconds. A turn of the event loop accepts one.
 */
const ACCEPT_QUEUE_MS = 500;

/**
 * Time in which the servers that answer at once, as that of the directory,
 * close their connections, in milliseconds.
 */
const AUXILIARY_CLOSE_MS = 50;

/**
 * Time after the start of a graceful stop for which all requests are still
 * accepted, in milliseconds. Callers with an older answer of the directory still
 * arrive, and a stream that starts now mostly ends in time. Later only requests
 * are accepted that must end before this instance does.
 */
const ACCEPT_ALL_MS = 1_500;

/**
 * Minimum duration of a graceful stop, in milliseconds. After it, peers no
 * longer list this instance in the directory.
 */
const MIN_STOP_MS = 800;

/**
 * Time for which an address that is taken at the start is tried again, beyond
 * the grace time of a predecessor that still stops there, in milliseconds.
 */
const OPENING_MARGIN_MS = 2_000;

/**
 * Pause between two tries to open the address of the metrics, in milliseconds.
 * No caller waits for it, and another process may keep it.
 */
const METRICS_TRY_INTERVAL_MS = 5_000;

/** What an instance listens for at one address. */
type AddressPurpose = keyof configuration.GatewaySettings['listen'];

/** A server without which an instance can't serve. */
interface NeededServer<T extends Pick<gateway.AuxiliaryServer, 'start'>> {
  readonly purpose: AddressPurpose;
  readonly address: configuration.Address;
  readonly server: T;
}

/** Why a start failed. */
export interface StartFailure {
  readonly purpose: string;
  readonly address: string;
  readonly reason: string;
}

/** A gateway instance and its life cycle. */
export class GatewayInstance {
  private readonly get: gatewayComponents.GatewayResolver;
  private readonly shutdown = new AbortController();
  /** Ends the opening of addresses that are still taken. */
  private readonly opening = new AbortController();
  private peerServer: gateway.AuxiliaryServer | undefined;
  private auxiliaryServers: readonly gateway.AuxiliaryServer[] = [];
  private stopping = false;
  /** Whether all addresses are open that callers, peers and the platform use. */
  private isOpen = false;
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

  /**
   * Starts the servers and loops; resolves when all servers listen that are
   * needed to serve, or one of them can't.
   */
  async start(): Promise<purify.Either<StartFailure, void>> {
    const {get} = this;
    get('log').info('instance_started', {uptimeMs: instanceLoops.uptimeMs()});
    get('loopMonitor').start();
    const endLog = logHeldBodies.logHeldBodies(get('log'));
    this.shutdown.signal.addEventListener('abort', endLog, {once: true});
    const {signal} = this.shutdown;
    // The calls to the store are sent before this instance listens, so that
    // their answers arrive meanwhile.
    void this.loops.followStore(signal);
    const opened = await this.openServers();
    if (opened.isRight() && !this.stopping) {
      this.isOpen = true;
      this.loops.exchangeWithPeers(signal);
      void this.loops.tick(signal);
    }
    return opened;
  }

  /** Opens the caller server first, then those for the platform and peers. */
  private async openServers(): Promise<purify.Either<StartFailure, void>> {
    const {clock, settings} = this.options;
    const {listen, bounds} = settings.current;
    const untilMs =
      clock.steadyNow() + bounds.change.stopGraceMs + OPENING_MARGIN_MS;
    const callers = await this.openServer(
      {
        purpose: 'callers',
        address: listen.callers,
        server: this.get('callerServer'),
      },
      untilMs,
    );
    if (callers.isLeft()) {
      return callers;
    }
    await Promise.race([
      this.get('state').whenSynced(),
      clock.sleep(AUXILIARY_START_DELAY_MS, this.opening.signal),
    ]);
    if (this.stopping) {
      return purify.Right(undefined);
    }
    const peers = this.createPeerServer();
    this.peerServer = peers.server;
    const others = this.createAuxiliaryServers();
    this.auxiliaryServers = others.map(({server}) => server);
    if (listen.metrics) {
      this.startMetricsServer(listen.metrics);
    }
    const opened = await Promise.all(
      [peers, ...others].map(server => this.openServer(server, untilMs)),
    );
    return purify.Either.sequence([...opened]).map(() => undefined);
  }

  private async openServer(
    {
      purpose,
      address,
      server,
    }: NeededServer<Pick<gateway.AuxiliaryServer, 'start'>>,
    untilMs: number,
  ): Promise<purify.Either<StartFailure, void>> {
    const details = {purpose, address: configuration.formatAddress(address)};
    const outcome = await gateway.openAddress(() => server.start(), {
      clock: this.options.clock,
      signal: this.opening.signal,
      untilMs,
      onUnavailable: reason => {
        this.get('log').warn('address_unavailable', {...details, reason});
      },
    });
    return outcome.kind === 'unavailable'
      ? purify.Left({...details, reason: outcome.reason})
      : purify.Right(undefined);
  }

  /** Metrics aren't needed to serve: their address is tried until it is free. */
  private startMetricsServer(address: configuration.Address): void {
    const {get} = this;
    const server = gateway.createMetricsServer(
      address,
      () => get('metrics').format(),
      this.onServerError,
    );
    this.auxiliaryServers = [...this.auxiliaryServers, server];
    const details = {
      purpose: 'metrics' satisfies AddressPurpose,
      address: configuration.formatAddress(address),
    };
    void gateway.openAddress(() => server.start(), {
      clock: this.options.clock,
      signal: this.opening.signal,
      untilMs: Infinity,
      intervalMs: METRICS_TRY_INTERVAL_MS,
      onUnavailable: reason => {
        get('log').warn('address_unavailable', {...details, reason});
      },
    });
  }

  private createAuxiliaryServers(): readonly NeededServer<gateway.AuxiliaryServer>[] {
    const {listen} = this.options.settings.current;
    return [
      {
        purpose: 'readiness',
        address: listen.readiness,
        server: gateway.createReadinessServer(
          listen.readiness,
          platform.INSTANCE_PATHS.readiness,
          () => this.isReady(),
          this.onServerError,
        ),
      },
      {
        purpose: 'directory',
        address: listen.directory,
        server: gateway.createDirectoryServer(
          listen.directory,
          platform.INSTANCE_PATHS.directory,
          question => this.answerDirectory(question),
          this.onServerError,
        ),
      },
    ];
  }

  private createPeerServer(): NeededServer<gateway.AuxiliaryServer> {
    const {get} = this;
    const {peers} = this.options.settings.current.listen;
    return {
      purpose: 'peers',
      address: peers,
      server: gateway.createPeerServer(
        peers,
        protocol.INNER_PATH,
        text => get('peerServer').handle(text),
        {
          handle: (...exchange) => get('gateway').handleForwarded(...exchange),
          loop: get('loopMonitor'),
        },
        this.onServerError,
      ),
    };
  }

  private readonly onServerError = (error: unknown): void => {
    const log = this.get('log');
    logInternalError.logInternalError(log, 'auxiliary_server', error);
  };

  private get servers(): readonly gateway.AuxiliaryServer[] {
    const {peerServer, auxiliaryServers} = this;
    return peerServer ? [peerServer, ...auxiliaryServers] : auxiliaryServers;
  }

  /** Logs why the start failed, as the last line before the process ends. */
  reportFailedStart({purpose, address, reason}: StartFailure): void {
    this.get('log').warn('instance_start_failed', {purpose, address, reason});
  }

  /** Logs a signal that this process got. */
  recordSignal(signal: string): void {
    this.get('log').info('signal_received', {
      signal,
      uptimeMs: instanceLoops.uptimeMs(),
      inProgress: this.get('gateway').inProgress,
    });
  }

  /**
   * Stops gracefully. The instance is not ready and not in the directory from
   * the start of the stop. Requests in progress go on to their end; new ones are
   * refused once they could be cut off.
   *
   * An instance that knows no configuration yet can't serve: it refuses at once
   * what has come.
   */
  async stop(reason: stopRequest.StopReason = 'call'): Promise<void> {
    const {clock, settings} = this.options;
    const {get} = this;
    const startedAtMs = clock.now();
    const {stopGraceMs} = settings.current.bounds.change;
    const closeMs = Math.min(
      stopGraceMs * CLOSE_FRACTION,
      stopGraceMs - END_MARGIN_MS,
    );
    const drainMs = Math.min(
      stopGraceMs * DRAIN_FRACTION,
      closeMs - LAST_ANSWERS_MS,
    );
    this.stopping = true;
    this.opening.abort();
    const {inProgress} = get('gateway');
    get('log').info('instance_stopping', {inProgress, reason});
    get('members').setPhase('leaving');
    get('gateway').beginStop({
      acceptsAllUntilMs: startedAtMs + ACCEPT_ALL_MS,
      endsAtMs: startedAtMs + drainMs,
    });
    void get('exchange').notifyWatchers();
    if (get('state').isSynced()) {
      await this.drain(
        startedAtMs,
        startedAtMs + stopGraceMs * ACCEPT_FRACTION,
      );
    }
    await this.close(startedAtMs + drainMs, startedAtMs + closeMs);
    get('log').info('instance_stopped', {
      tookMs: Math.round(clock.now() - startedAtMs),
      cut: get('gateway').inProgress,
      refused: get('gateway').refusedWhileClosing,
      connections: get('callerServer').cutConnections,
      reason,
    });
  }

  /** Resolves once no request is in progress, or at `endMs`. */
  private async drain(startedAtMs: number, endMs: number): Promise<void> {
    const {clock} = this.options;
    const isDone = () =>
      this.get('gateway').inProgress === 0 &&
      clock.now() - startedAtMs >= MIN_STOP_MS;
    while (!isDone() && clock.now() < endMs) {
      await clock.sleep(DRAIN_CHECK_INTERVAL_MS);
    }
  }

  /**
   * Refuses what comes, and closes the connections of callers and peers once
   * their requests are answered.
   *
   * Guards against requests that are read and get no answer: of callers that go
   * on asking until the process is gone, some are always in progress.
   *
   * @param runsEndMs when the requests in progress are ended.
   * @param endMs when connections that are still open are cut.
   */
  private async close(runsEndMs: number, endMs: number): Promise<void> {
    const {clock} = this.options;
    const {get} = this;
    get('gateway').holdNew();
    await Promise.all([
      get('callerServer').stopListening(ACCEPT_QUEUE_MS),
      this.peerServer?.stopListening(ACCEPT_QUEUE_MS),
    ]);
    get('gateway').beginClosing();
    get('log').info('instance_closing', {
      inProgress: get('gateway').inProgress,
      connections: get('callerServer').connectionCount,
    });
    const closed = new AbortController();
    void clock.sleep(runsEndMs - clock.now(), closed.signal).then(() => {
      get('gateway').endRuns();
    });
    const timeoutMs = endMs - clock.now();
    await Promise.all([
      get('callerServer').stop(timeoutMs),
      this.peerServer?.stop(timeoutMs),
    ]);
    closed.abort();
    this.shutdown.abort();
    await Promise.all(
      this.auxiliaryServers.map(server => server.stop(AUXILIARY_CLOSE_MS)),
    );
  }

  /**
   * Reloads the settings. The addresses that this instance listens on and its
   * identity stay as they were at its start.
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

  /** Logs and counts an error that nothing handled. */
  recordFailure(failure: describeFailure.Failure): void {
    this.get('log').error('process_failing', {
      ...failure,
      inProgress: this.get('gateway').inProgress,
      uptimeMs: instanceLoops.uptimeMs(),
    });
  }

  /** Ends without a graceful stop, as a process that is killed does. */
  async kill(): Promise<void> {
    this.opening.abort();
    this.shutdown.abort();
    this.get('loopMonitor').stop();
    this.get('transport').close();
    await Promise.all([
      this.get('callerServer').stop(0),
      ...this.servers.map(server => server.stop()),
    ]);
  }

  /** Whether this instance reports that it takes callers. */
  isServing(): boolean {
    return this.get('members').self.phase === 'serving';
  }

  /** Whether the catalog of this instance has the upstream. */
  knowsUpstream(id: string): boolean {
    return this.get('catalog').find(id) !== undefined;
  }

  /** Names of the services of which this instance reaches no upstream. */
  lostServices(): readonly string[] {
    return this.get('upstreamLinks').lostServices;
  }

  private isReady(): boolean {
    return this.isOpen && !this.stopping && this.get('state').isSynced();
  }

  /**
   * Answers which instances a caller should connect to; undefined if unknown.
   *
   * An instance that does not know the fleet yet gives no answer. With its own
   * address alone, all callers would drop their connections to other instances
   * and connect to this one.
   */
  private answerDirectory({
    zone,
    region,
    callerHost,
  }: gateway.DirectoryQuery): unknown {
    const {settings, clock} = this.options;
    const members = this.get('members');
    const now = clock.now();
    if (!members.hasWatcherList(now) && this.get('watchRole').isSettling()) {
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
