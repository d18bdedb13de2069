/**
 * Whether this instance reaches any upstream of a service.
 *
 * Load: an instance whose links to upstreams are cut while callers and other
 * instances still reach it. Harm prevented: it takes what it can't reach for
 * down, and refuses requests that other instances could serve. A single
 * upstream that crashed, is silent for a moment or lost a packet is no such
 * sign: at least two have to fail without an answer of any in between, and then
 * a check of others decides. Pure: the clock is an option.
 */

/** Options of `UpstreamLinks`. */
export interface UpstreamLinksOptions {
  readonly now: () => number;
  /** Called when the links to a service are lost. */
  readonly onLost: (service: string, failed: readonly string[]) => void;
  /** Called when they are regained, with the time without them. */
  readonly onRegained: (service: string, awayMs: number) => void;
}

/** Result of the check of one link. */
export type LinkResult =
  | 'answered'
  /** The connection was refused, reset or not established in time. */
  | 'failed'
  /** The connection was established, and no answer came in time. */
  | 'silent';

interface ServiceLinks {
  /** When each upstream failed last, since the last answer of any. */
  readonly failedAtMs: Map<string, number>;
  /** Last answer over a new connection. */
  answeredAtMs: number;
  /** Last answer over any connection. */
  heardAtMs: number;
  checkedAtMs: number;
  isChecking: boolean;
  lostAtMs: number | undefined;
}

/** Upstreams that must fail before the links are checked, if there are so many. */
const SUSPICIOUS_FAILURES = 2;

/** Time within which these failures have to happen, in milliseconds. */
const FAILURE_WINDOW_MS = 2_000;

/** Minimum time between two checks of a service, in milliseconds. */
const CHECK_INTERVAL_MS = 400;

/**
 * Time after its last answer for which a silent upstream counts as busy rather
 * than unreachable, in milliseconds.
 */
const BUSY_MS = 1_000;

/** Links of one instance to the upstreams of all services. */
export class UpstreamLinks {
  private readonly byService = new Map<string, ServiceLinks>();
  /** When each upstream last answered, over any connection. */
  private readonly heardAtMs = new Map<string, number>();

  constructor(private readonly options: UpstreamLinksOptions) {}

  /** Names of the services of which no upstream is reached. */
  get lostServices(): readonly string[] {
    return [...this.byService]
      .filter(([, {lostAtMs}]) => lostAtMs !== undefined)
      .map(([service]) => service);
  }

  /** Whether no upstream of the service is reached. */
  isLost(service: string): boolean {
    return this.byService.get(service)?.lostAtMs !== undefined;
  }

  /**
   * Records an answer of an upstream.
   *
   * @param isNewConnection whether it came over a new connection. Connections
   *     that are open may live on while new ones fail.
   */
  recordAnswer(service: string, id: string, isNewConnection: boolean): void {
    const now = this.options.now();
    this.heardAtMs.set(id, now);
    this.linksOf(service).heardAtMs = now;
    if (isNewConnection) {
      this.recordReached(service);
    }
  }

  /** Records that an upstream refused or reset a connection, or accepted none. */
  recordFailure(service: string, id: string): void {
    this.linksOf(service).failedAtMs.set(id, this.options.now());
  }

  /**
   * Records that an upstream has not answered a request for `forMs`. Where
   * others of the service answered meanwhile, it is slow, and not out of reach.
   */
  recordSilence(service: string, id: string, forMs: number): void {
    const {heardAtMs} = this.linksOf(service);
    if (heardAtMs < this.options.now() - forMs) {
      this.recordFailure(service, id);
    }
  }

  /**
   * Whether the links to a service should be checked now: after failures, and
   * again and again while they are lost.
   *
   * @param upstreams number of the service's upstreams.
   */
  isCheckDue(service: string, upstreams: number): boolean {
    const now = this.options.now();
    const links = this.byService.get(service);
    if (
      !links ||
      links.isChecking ||
      now - links.checkedAtMs < CHECK_INTERVAL_MS
    ) {
      return false;
    }
    const recent = [...links.failedAtMs.values()].filter(
      atMs => now - atMs <= FAILURE_WINDOW_MS,
    );
    const isSuspicious =
      recent.length >= Math.min(SUSPICIOUS_FAILURES, upstreams);
    return upstreams > 0 && (links.lostAtMs !== undefined || isSuspicious);
  }

  /** Records that a check of a service began. */
  beginCheck(service: string): void {
    const links = this.linksOf(service);
    links.isChecking = true;
    links.checkedAtMs = this.options.now();
  }

  /** Records the results of a check, by id of the upstream. */
  endCheck(service: string, results: ReadonlyMap<string, LinkResult>): void {
    const links = this.linksOf(service);
    links.isChecking = false;
    const isAnswered = [...results].some(([id, result]) =>
      this.isAnswer(id, result),
    );
    if (isAnswered) {
      this.recordReached(service);
      return;
    }
    const hasAnsweredMeanwhile = links.answeredAtMs >= links.checkedAtMs;
    if (links.lostAtMs === undefined && !hasAnsweredMeanwhile) {
      links.lostAtMs = this.options.now();
      this.options.onLost(service, [...links.failedAtMs.keys()]);
    }
  }

  /** Drops what is kept of a service that no longer exists. */
  forget(service: string): void {
    this.byService.delete(service);
  }

  /** Drops what is kept of upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    const maps = [...this.byService.values()].map(links => links.failedAtMs);
    for (const byId of [this.heardAtMs, ...maps]) {
      for (const id of byId.keys()) {
        if (!ids.has(id)) {
          byId.delete(id);
        }
      }
    }
  }

  private isAnswer(id: string, result: LinkResult): boolean {
    const heardAtMs = this.heardAtMs.get(id) ?? -Infinity;
    const isBusy = this.options.now() - heardAtMs <= BUSY_MS;
    return result === 'answered' || (result === 'silent' && isBusy);
  }

  private recordReached(service: string): void {
    const links = this.linksOf(service);
    const now = this.options.now();
    const {lostAtMs} = links;
    links.answeredAtMs = now;
    links.failedAtMs.clear();
    links.lostAtMs = undefined;
    if (lostAtMs !== undefined) {
      this.options.onRegained(service, now - lostAtMs);
    }
  }

  private linksOf(service: string): ServiceLinks {
    const known = this.byService.get(service);
    if (known) {
      return known;
    }
    const created: ServiceLinks = {
      failedAtMs: new Map(),
      answeredAtMs: -Infinity,
      heardAtMs: -Infinity,
      checkedAtMs: -Infinity,
      isChecking: false,
      lostAtMs: undefined,
    };
    this.byService.set(service, created);
    return created;
  }
}
