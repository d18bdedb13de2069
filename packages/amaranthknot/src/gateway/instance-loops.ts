/**
 * Background loops of a gateway instance: follows the store, exchanges reports
 * with peers, expires what is overdue and reloads the settings.
 */
import * as configuration from '@amaranthknot/configuration';
import * as ports from '@amaranthknot/ports';
import type * as gatewayComponents from './gateway-components.js';
import * as logInternalError from './log-internal-error.js';
import * as repeatSlack from './repeat-slack.js';

/** Interval at which expired upstreams and rollouts are checked, in ms. */
const TICK_INTERVAL_MS = 200;

/**
 * Interval at which the member list is checked for changes, in ms. The result
 * goes to the log and to the repeat budget, and there may be hundreds of
 * instances to go through.
 */
const FLEET_CHECK_INTERVAL_MS = 1_000;

/**
 * Interval at which the settings file is read again, in ms. The time bounds in
 * it are seconds long, and reading it takes a tenth of a millisecond.
 */
const RELOAD_INTERVAL_MS = 2_000;

/**
 * Time for which an instance of a deployment that starts for the first time
 * waits for its seeds to know the store, in milliseconds, and the pause between
 * two calls. No caller waits meanwhile.
 */
const BOOTSTRAP_WAIT_MS = 2_000;
const BOOTSTRAP_PAUSE_MS = 200;

/** Shortest gap of the clock that is logged, in milliseconds. */
const MIN_LOGGED_GAP_MS = 50;

/** Time since the process started, in milliseconds. */
export const uptimeMs = (): number => Math.round(process.uptime() * 1_000);

/** Reads how busy the event loop of this process was since the last call. */
const createReadLoopUtilization = (): gatewayComponents.ReadUtilization => {
  let last = performance.eventLoopUtilization();
  return () => {
    const load = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(load, last);
    last = load;
    return utilization;
  };
};

/** Callbacks from the loops to their instance. */
export interface LoopCallbacks {
  /** Whether the instance is synced and is not stopping. */
  readonly isReady: () => boolean;
  /** Reads the settings again. */
  readonly reload: () => void;
}

/** The loops of one instance; each runs until its signal aborts. */
export class InstanceLoops {
  private reloadedAtMs = 0;
  private fleetCheckedAtMs = -Infinity;
  /** How far the clock for ages is ahead of the one for waits, in ms. */
  private clockLeadMs = 0;
  private readonly readUtilization: gatewayComponents.ReadUtilization;
  /** What is checked at each tick, in this order. */
  private readonly checks: readonly (() => void)[];

  constructor(
    private readonly get: gatewayComponents.GatewayResolver,
    private readonly callbacks: LoopCallbacks,
  ) {
    this.readUtilization =
      get('options').readUtilization ?? createReadLoopUtilization();
    this.checks = this.createChecks();
  }

  /** Fetches the views of a peer, if there is a seed, then follows the store. */
  async followStore(signal: AbortSignal): Promise<void> {
    try {
      await this.askSeeds(signal);
    } catch (error) {
      // The store knows what the seeds would have told.
      this.logError('seeds', error);
    }
    for (const reflector of Object.values(this.get('reflectors'))) {
      void this.keepRunning('reflector', () => reflector.run(signal), signal);
    }
  }

  private async askSeeds(signal: AbortSignal): Promise<void> {
    const seed = this.pickSeed();
    if (seed !== undefined) {
      await this.askSeed(seed);
      await this.awaitSeeds(signal);
    }
  }

  /**
   * Asks the seeds until they know the store, if the deployment starts for the
   * first time.
   *
   * Guards against hundreds of instances that start together and all list the
   * store, because their seeds know no more than they do.
   */
  private async awaitSeeds(signal: AbortSignal): Promise<void> {
    const {clock, settings} = this.get('options');
    const {isBootstrap} = settings.current;
    const endMs = clock.now() + BOOTSTRAP_WAIT_MS;
    const mayWait = () =>
      isBootstrap &&
      !this.isSeed() &&
      !this.get('state').isSynced() &&
      clock.now() < endMs;
    while (mayWait() && !signal.aborted) {
      await clock.sleep(BOOTSTRAP_PAUSE_MS, signal);
      const seed = this.pickSeed();
      if (seed !== undefined) {
        await this.askSeed(seed);
      }
    }
  }

  private isSeed(): boolean {
    const {settings} = this.get('options');
    const own = this.get('members').self.peers;
    return settings.current.seeds
      .map(configuration.formatAddress)
      .includes(own);
  }

  private async askSeed(seed: string): Promise<void> {
    const {get} = this;
    const {clock} = get('options');
    const startedAtMs = clock.now();
    await get('subscription').fetchInitial(seed);
    get('log').info('seed_asked', {
      seed,
      tookMs: Math.round(clock.now() - startedAtMs),
      isKnowing: get('state').isSynced(),
    });
  }

  /** A random seed of the settings, other than this instance. */
  private pickSeed(): string | undefined {
    const {settings, random} = this.get('options');
    const own = this.get('members').self.peers;
    const others = settings.current.seeds
      .map(configuration.formatAddress)
      .filter(address => address !== own);
    return others[Math.floor(random() * others.length)];
  }

  /** Starts the exchange with peers and the subscription to a watcher. */
  exchangeWithPeers(signal: AbortSignal): void {
    const {get} = this;
    const exchange = () => get('exchange').run(signal);
    const subscribe = () => get('subscription').run(signal);
    void this.keepRunning('exchange', exchange, signal);
    void this.keepRunning('subscription', subscribe, signal);
  }

  /** Runs the periodic checks; an error in one does not hold up the others. */
  async tick(signal: AbortSignal): Promise<void> {
    const {clock} = this.get('options');
    while (!signal.aborted) {
      for (const check of this.checks) {
        try {
          check();
        } catch (error) {
          this.logError('tick', error);
        }
      }
      await clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }

  private createChecks(): readonly (() => void)[] {
    const {get} = this;
    const {clock} = get('options');
    return [
      () => {
        this.updatePhase();
      },
      () => {
        get('state').expire();
      },
      () => {
        get('linkMonitor').recheckLost();
      },
      () => {
        get('partQuarantine').expire();
      },
      () => {
        get('upstreamAbsences').expire();
      },
      () => {
        get('coldStarts').expire();
      },
      () => {
        this.sampleLoad();
      },
      () => {
        this.logClockGap();
      },
      () => {
        get('rollouts').reportDueEnds();
      },
      () => {
        this.checkFleetIfDue(clock.now());
      },
      () => {
        get('log').reportDroppedLines();
      },
      () => {
        this.reloadIfDue(clock.now());
      },
    ];
  }

  private keepRunning(
    name: string,
    run: () => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.get('options');
    const onError = (error: unknown) => {
      this.logError(name, error);
    };
    return ports.keepRunning(run, {clock, signal, onError});
  }

  private logError(loop: string, error: unknown): void {
    logInternalError.logInternalError(this.get('log'), loop, error);
  }

  private sampleLoad(): void {
    this.get('forwardAdmission').record(this.readUtilization());
  }

  /** Logs that the machine was suspended, or that its wall clock was set ahead. */
  private logClockGap(): void {
    const {clock} = this.get('options');
    const leadMs = clock.now() - clock.steadyNow();
    if (leadMs - this.clockLeadMs >= MIN_LOGGED_GAP_MS) {
      this.get('log').warn('clock_gap', {
        gapMs: Math.round(leadMs - this.clockLeadMs),
        totalMs: Math.round(leadMs),
      });
    }
    this.clockLeadMs = leadMs;
  }

  private dropGonePeers(nowMs: number): void {
    const ids = new Set(
      this.get('members')
        .live(nowMs)
        .map(({id}) => id),
    );
    this.get('peerPool').retain(ids);
    this.get('peerForwarder').retain(ids);
  }

  private checkFleetIfDue(nowMs: number): void {
    if (nowMs - this.fleetCheckedAtMs >= FLEET_CHECK_INTERVAL_MS) {
      this.fleetCheckedAtMs = nowMs;
      this.get('fleetChangeLogger').logChanges();
      repeatSlack.updateRepeatSlack(this.get);
      this.dropGonePeers(nowMs);
    }
  }

  /** Reloads the settings on a timer too: they may change without a signal. */
  private reloadIfDue(nowMs: number): void {
    if (nowMs - this.reloadedAtMs >= RELOAD_INTERVAL_MS) {
      this.reloadedAtMs = nowMs;
      this.callbacks.reload();
    }
  }

  private updatePhase(): void {
    const {phase} = this.get('members').self;
    if (phase === 'starting' && this.callbacks.isReady()) {
      this.get('log').info('instance_serving', {uptimeMs: uptimeMs()});
      this.get('members').setPhase('serving');
    }
  }
}
