/** What an instance does all the time, beside answering others. */
import * as configuration from '@amaranthknot/configuration';
import type * as gatewayComponents from './gateway-components.js';
import * as repeatSlack from './repeat-slack.js';

/** How often lapsed upstreams and roll-outs are looked at, in ms. */
const TICK_INTERVAL_MS = 200;

/**
 * How often the fleet is gone through, in ms: what is noted of it is for the
 * log, and there may be hundreds of instances.
 */
const FLEET_CHECK_INTERVAL_MS = 1_000;

/**
 * How often the settings file is looked at, in ms: bounds in it count in
 * seconds, and reading it takes a tenth of a millisecond.
 */
const RELOAD_INTERVAL_MS = 2_000;

/** Time since the process began, in milliseconds. */
export const uptimeMs = (): number => Math.round(process.uptime() * 1_000);

/** What the loops ask of their instance. */
export interface LoopCallbacks {
  /** Whether enough is known to take callers, and no stop was ordered. */
  readonly isReady: () => boolean;
  /** Reads the settings again. */
  readonly reload: () => void;
}

/** The loops of one instance; each runs until its signal aborts. */
export class InstanceLoops {
  private reloadedAtMs = 0;
  private fleetCheckedAtMs = -Infinity;

  constructor(
    private readonly get: gatewayComponents.GatewayResolver,
    private readonly callbacks: LoopCallbacks,
  ) {}

  /** Asks a peer for what it knows of the store, then follows the store. */
  async followStore(signal: AbortSignal): Promise<void> {
    const seed = this.pickSeed();
    if (seed !== undefined) {
      await this.askSeed(seed);
    }
    for (const follower of Object.values(this.get('followers'))) {
      void follower.run(signal);
    }
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

  /** Address of another instance that the settings name. */
  private pickSeed(): string | undefined {
    const {settings, random} = this.get('options');
    const own = this.get('members').self.peers;
    const others = settings.current.seeds
      .map(configuration.formatAddress)
      .filter(address => address !== own);
    return others[Math.floor(random() * others.length)];
  }

  /** Tells peers what this instance knows, and is told by them. */
  exchangeWithPeers(signal: AbortSignal): void {
    void this.get('exchange').run(signal);
    void this.get('subscription').run(signal);
  }

  /** Looks at what falls due. */
  async tick(signal: AbortSignal): Promise<void> {
    const {get} = this;
    const {clock} = get('options');
    while (!signal.aborted) {
      this.updatePhase();
      get('state').expire();
      get('rollouts').reportDueEnds();
      this.checkFleetIfDue(clock.now());
      get('log').reportDroppedLines();
      this.reloadIfDue(clock.now());
      await clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }

  private checkFleetIfDue(nowMs: number): void {
    if (nowMs - this.fleetCheckedAtMs >= FLEET_CHECK_INTERVAL_MS) {
      this.fleetCheckedAtMs = nowMs;
      this.get('fleetWatch').logChanges();
      repeatSlack.updateRepeatSlack(this.get);
    }
  }

  /** Settings may change without a signal. */
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
