/** When an instance exchanges generations with the next peer. */
import type * as ports from '@amaranthknot/ports';
import * as tokenBucket from './util/token-bucket.js';

/** Time between exchanges in milliseconds, spread by a tenth. */
const EXCHANGE_INTERVAL_MS = 1_000;

/**
 * Exchanges that may follow each other at once after a change, and their rate
 * per second. Early exchanges bring a lone change to all in a moment; the rate
 * bounds them when changes come each second, at 4 KB/s a node.
 */
const EARLY_EXCHANGES = 3;
const EARLY_MS = 50;
const EXCHANGES_PER_S = 1.1;

/**
 * Share of the bound between exchanges while in doubt: 0.3 s at 7 instances.
 * At 1,000 the bound is long and the share makes no difference.
 */
const DOUBT_SHARE = 0.12;

/** Paces exchanges: steady, early after a change, dense in doubt. */
export class ExchangePacer {
  private readonly tokens: tokenBucket.TokenBucket;
  private earlyLeft = 0;
  private waking = new AbortController();
  private isStopped = false;

  constructor(
    private readonly clock: ports.Clock,
    private readonly random: () => number,
  ) {
    this.tokens = new tokenBucket.TokenBucket(
      EARLY_EXCHANGES,
      EXCHANGES_PER_S,
      clock.now(),
    );
  }

  /** A change came into force: peers should hear of it soon. */
  expedite(): void {
    this.earlyLeft = EARLY_EXCHANGES - 1;
    this.waking.abort();
  }

  /** Ends the present wait and all later ones. */
  stop(): void {
    this.isStopped = true;
    this.waking.abort();
  }

  /** An exchange begins. */
  begin(): void {
    this.tokens.take(this.clock.now());
    this.waking = new AbortController();
  }

  /**
   * Waits for the next exchange. In doubt, with `boundMs` given, the case has
   * to be judged before the bound is over: a platform that is out, or this
   * instance cut off. Several looks at other zones fit into that time, so
   * that an outage does not stop instances which merely had no luck.
   */
  async wait(boundMs = Infinity): Promise<void> {
    const usualMs = Math.min(EXCHANGE_INTERVAL_MS, boundMs * DOUBT_SHARE);
    const end = this.clock.now() + usualMs * (0.9 + 0.2 * this.random());
    if (this.earlyLeft === 0) {
      await this.clock.sleep(end - this.clock.now(), this.waking.signal);
    }
    if (this.earlyLeft > 0 && !this.isStopped) {
      this.earlyLeft--;
      const now = this.clock.now();
      const earlyMs = Math.max(EARLY_MS, this.tokens.waitMs(now));
      await this.clock.sleep(Math.min(earlyMs, Math.max(0, end - now)));
    }
  }
}
