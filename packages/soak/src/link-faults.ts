/** Cuts links between instances and upstreams, and makes upstreams fragile. */
import type * as fakes from '@amaranthknot/fakes';
import type * as ports from '@amaranthknot/ports';
import type * as checkLinks from './check-links.js';
import type * as faultPlan from './fault-plan.js';
import type * as soakUpstream from './soak-upstream.js';

/** An instance whose links are cut. */
export interface LinkedInstance {
  /** Address for callers. */
  readonly address: string;
  /** IP address from which it calls upstreams. */
  readonly source: string;
}

/** An upstream with the proxy before it. */
export interface LinkedUpstream {
  readonly state: soakUpstream.SoakUpstreamState;
  readonly proxy: fakes.LoopbackProxy;
}

/** Injects these faults and records when they were in effect. */
export class LinkFaults {
  readonly cuts: checkLinks.LinkCut[] = [];
  readonly fragileTimes: checkLinks.FragileTime[] = [];

  constructor(
    private readonly clock: ports.Clock,
    private readonly upstreams: readonly LinkedUpstream[],
  ) {}

  /** Cuts the links of an instance to all upstreams for the fault's time. */
  async cut(
    {address, source}: LinkedInstance,
    {kind, forMs}: faultPlan.Fault,
    mode: fakes.ProxyMode,
  ): Promise<void> {
    const fromMs = this.clock.now();
    this.cuts.push({instance: address, fromMs, toMs: fromMs + forMs});
    for (const {proxy} of this.upstreams) {
      proxy.setModeOf(source, mode);
      if (kind === 'links_reset') {
        proxy.resetAll(source);
      }
    }
    await this.clock.sleep(forMs);
    this.heal(source);
  }

  /** Ends all cuts of the instance that calls upstreams from an address. */
  heal(source: string): void {
    for (const {proxy} of this.upstreams) {
      proxy.setModeOf(source, undefined);
      // Connections that lost bytes in a cut would hang for ever.
      proxy.resetAll(source);
    }
  }

  /** Makes all upstreams fail for a time when they refuse too much. */
  async makeFragile(forMs: number): Promise<void> {
    const fromMs = this.clock.now();
    this.fragileTimes.push({fromMs, toMs: fromMs + forMs});
    const states = this.upstreams.map(({state}) => state);
    states.forEach(state => {
      state.fragileSinceMs ??= fromMs;
    });
    await this.clock.sleep(forMs);
    states.forEach(state => {
      state.fragileSinceMs = undefined;
    });
  }
}
