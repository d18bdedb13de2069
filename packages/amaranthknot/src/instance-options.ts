/** Options that an entry instance is started with. */
import type * as configuration from '@amaranthknot/configuration';
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';

/** Secrets in plain text, from the settings or the files that they name. */
export interface Secrets {
  readonly innerKey: string;
  readonly sessionKey: string;
  readonly platformKey?: string;
}

/** Settings, secrets and clock of one instance. */
export interface InstanceOptions {
  readonly settings: configuration.Settings;
  readonly secrets: Secrets;
  readonly clock: ports.Clock;
  /** `ip:port` at which callers and peers reach this instance. */
  readonly advertise: string;
  /** Timing of warm-up grants; `decisions.WARM_UP_TIMING` by default. */
  readonly warmUpTiming?: decisions.WarmUpTiming;
  /**
   * Uniform random numbers in [0, 1), for cascades and jitter; seeded in the
   * demo and in tests.
   */
  readonly random?: () => number;
}
