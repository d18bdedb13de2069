/** What an instance does all the time, beside answering others. */
import * as configuration from '@amaranthknot/configuration';
import type * as gatewayTokens from './gateway-tokens.js';
import * as repeatSlack from './repeat-slack.js';

/** How often lapsed upstreams and roll-outs are looked at, in ms. */
const TICK_MS = 200;

/**
 * How often the fleet is gone through, in ms: what is noted of it is for the
 * log, and there may be hundreds of instances.
 */
const LOOK_MS = 1_000;

/**
 * How often the settings file is looked at, in ms: bounds in it count in
 * seconds, and reading it takes a tenth of a millisecond.
 */
const RELOAD_MS = 2_000;

/** Time since the process began, in milliseconds. */
export const uptimeMs = (): number => Math.round(process.uptime() * 1_000);

/** What the loops ask of their instance. */
export interface InstanceDuties {
  /** Whether enough is known to take callers, and no stop was ordered. */
  readonly isReady: () => boolean;
  /** Reads the settings again. */
  readonly reload: () => void;
}

/** The loops of one instance; each runs until its signal aborts. */
export class InstanceLoops {
  private reloadedAtMs = 0;
  private lookedAtMs = -Infinity;

  constructor(
    private readonly get: gatewayTokens.ResolveGateway,
    private readonly duties: InstanceDuties,
  ) {}

  /** Asks a peer for what it knows of the store, then follows the store. */
  async followStore(signal: AbortSignal): Promise<void> {
    const seed = this.drawSeed();
    if (seed !== undefined) {
      await this.askFirst(seed);
    }
    for (const follower of Object.values(this.get('followers'))) {
      void follower.run(signal);
    }
  }

  private async askFirst(seed: string): Promise<void> {
    const {get} = this;
    const {clock} = get('options');
    const startedAtMs = clock.now();
    await get('subscription').fetchInitial(seed);
    get('log').belief('seed_asked', {
      seed,
      tookMs: Math.round(clock.now() - startedAtMs),
      isKnowing: get('state').isKnowing(),
    });
  }

  /** Address of another instance that the settings name. */
  private drawSeed(): string | undefined {
    const {settings, random} = this.get('options');
    const own = this.get('members').self.peers;
    const others = settings.current.seeds
      .map(configuration.formatAddress)
      .filter(address => address !== own);
    return others[Math.floor(random() * others.length)];
  }

  /** Tells peers what this instance knows, and is told by them. */
  talkToPeers(signal: AbortSignal): void {
    void this.get('exchange').run(signal);
    void this.get('subscription').run(signal);
  }

  /** Looks at what falls due. */
  async tick(signal: AbortSignal): Promise<void> {
    const {get} = this;
    const {clock} = get('options');
    while (!signal.aborted) {
      this.updatePhase();
      get('state').tick();
      get('rollouts').reportDueEnds();
      this.lookSometimes(clock.now());
      get('log').tick();
      this.reloadSometimes(clock.now());
      await clock.sleep(TICK_MS, signal);
    }
  }

  private lookSometimes(nowMs: number): void {
    if (nowMs - this.lookedAtMs >= LOOK_MS) {
      this.lookedAtMs = nowMs;
      this.get('fleetWatch').look();
      repeatSlack.updateRepeatSlack(this.get);
    }
  }

  /** Settings may change without a signal. */
  private reloadSometimes(nowMs: number): void {
    if (nowMs - this.reloadedAtMs >= RELOAD_MS) {
      this.reloadedAtMs = nowMs;
      this.duties.reload();
    }
  }

  private updatePhase(): void {
    const {phase} = this.get('members').self;
    if (phase === 'starting' && this.duties.isReady()) {
      this.get('log').belief('instance_serving', {uptimeMs: uptimeMs()});
      this.get('members').setPhase('serving');
    }
  }
}
