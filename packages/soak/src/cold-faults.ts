/** Takes upstreams away for a time, after which they are back cold. */
import type * as fakes from '@amaranthknot/fakes';
import type * as ports from '@amaranthknot/ports';
import type * as checkCold from './check-cold.js';
import * as documents from './soak-documents.js';
import type * as soakUpstream from './soak-upstream.js';

/** An upstream that can come back cold. */
export interface ColdUpstream {
  readonly state: soakUpstream.SoakUpstreamState;
  proxy: fakes.LoopbackProxy;
}

/** What these faults need. */
export interface ColdFaultsOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  /** Whether another fault has ended an upstream. */
  readonly isDown: (upstream: ColdUpstream) => boolean;
  /** Writes to the entry of an upstream that it started again, and is cold. */
  readonly writeEntry: (upstream: ColdUpstream) => Promise<void>;
}

/** Longest time until an upstream that is back has written its entry, in ms. */
const MAX_ENTRY_DELAY_MS = 800;

/** Injects these faults and records the cold starts. */
export class ColdFaults {
  readonly returns: checkCold.ColdReturn[] = [];

  constructor(private readonly options: ColdFaultsOptions) {}

  /** Takes an upstream away, which is back cold under its id. */
  async returnCold(
    upstream: ColdUpstream,
    mode: 'silent' | 'refusing',
    forMs: number,
  ): Promise<void> {
    const {clock, random, isDown, writeEntry} = this.options;
    const {state} = upstream;
    const {id} = state;
    upstream.proxy.mode = mode;
    if (mode === 'refusing') {
      upstream.proxy.resetAll();
    }
    await clock.sleep(forMs);
    // It may have ended meanwhile, and come back behind another proxy.
    upstream.proxy.resetAll();
    upstream.proxy.mode = 'open';
    if (state.id !== id || isDown(upstream)) {
      return;
    }
    const fromMs = clock.now();
    state.coldUntilMs = fromMs + documents.COLD_START_MS;
    this.returns.push({upstream: id, fromMs, toMs: state.coldUntilMs});
    await clock.sleep(MAX_ENTRY_DELAY_MS * random());
    if (!isDown(upstream)) {
      await writeEntry(upstream);
    }
  }
}
