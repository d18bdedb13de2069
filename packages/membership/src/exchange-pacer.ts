/** Decides when an instance exchanges generations with the next peer. */
import type * as ports from '@amaranthknot/ports';
import * as tokenBucket from './util/token-bucket.js';

/** Time between exchanges, in milliseconds, with 10 % jitter. */
const EXCHANGE_INTERVAL_MS = 1_000;

/**
 * Exchanges that may follow each other at once after a change, their interval
 * in milliseconds, and the rate of exchanges per second. Early exchanges bring
 * a single change to all instances within moments; the rate bounds them when
 * changes come each second, at 4 KB/s an instance.
 */
const EARLY_EXCHANGES = 3;
const EARLY_MS = 50;
const EXCHANGES_PER_S = 1.1;

/**
 * Interval between exchanges while in doubt, as a fraction of the bound: 0.3 s
 * at 7 instances. At 1,000 the bound is long and the fraction makes no
 * difference.
 */
const DOUBT_FRACTION = 0.12;

/**
 * Paces exchanges: at a steady rate, early after a change, and more often in
 * doubt, that is, while the last confirmation is older than half of the bound.
 */
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

  /** Called when a change became active, so that peers learn of it soon. */
  expedite(): void {
    this.earlyLeft = EARLY_EXCHANGES - 1;
    this.waking.abort();
  }

  /** Ends the current wait and all later ones. */
  stop(): void {
    this.isStopped = true;
    this.waking.abort();
  }

  /** Called when an exchange begins. */
  begin(): void {
    this.tokens.take(this.clock.now());
    this.waking = new AbortController();
  }

  /**
   * Waits until the next exchange is due.
   *
   * In doubt, `boundMs` is given: before it is over, the instance has to judge
   * whether the platform is down or whether it is cut off itself. Several
   * exchanges with other zones fit into that time, so that an outage does not
   * stop instances which only drew the wrong peers.
   */
  async wait(boundMs = Infinity): Promise<void> {
    const usualMs = Math.min(EXCHANGE_INTERVAL_MS, boundMs * DOUBT_FRACTION);
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
