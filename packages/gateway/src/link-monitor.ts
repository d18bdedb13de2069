/**
 * Watches the links to upstreams: takes what requests show of them, and checks
 * some upstreams when these fail and until one answers again.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as linkCheck from './link-check.js';

/** What one use of a link to an upstream showed. */
export type LinkEvidence =
  | 'answered_new'
  /** It answered over a connection that was open before. */
  | 'answered_kept'
  | 'failed';

/** Receives what requests show of the links to upstreams. */
export interface LinkObserver {
  readonly record: (upstream: routing.Upstream, evidence: LinkEvidence) => void;
  /** An upstream has not answered a request for `forMs`. */
  readonly recordSilence: (upstream: routing.Upstream, forMs: number) => void;
}

/** What a `LinkMonitor` needs. */
export interface LinkMonitorOptions {
  readonly links: decisions.UpstreamLinks;
  readonly check: linkCheck.CheckLink;
  /** Upstreams in service, by name of the service. */
  readonly findUpstreams: (service: string) => readonly routing.Upstream[];
  /** Called when an upstream has not answered a request for `forMs`. */
  readonly onSilence: (upstream: routing.Upstream, forMs: number) => void;
  /** Undefined if the configuration has no such service. */
  readonly findService: (name: string) => routing.Service | undefined;
  readonly random: () => number;
}

/**
 * Number of upstreams that one check asks. One answer is enough to show that
 * links work, and each check costs connections to upstreams.
 */
const SAMPLE_SIZE = 3;

/** Watches the links of one instance. */
export class LinkMonitor implements LinkObserver {
  /** Called when the links to a service are lost, by name of the service. */
  private readonly waiters = new Map<string, Set<() => void>>();

  constructor(private readonly options: LinkMonitorOptions) {}

  /** Resolves when the links to a service are lost, or `signal` aborts. */
  whenLost(service: string, signal: AbortSignal): Promise<void> {
    const waiters = this.waiters.get(service) ?? new Set();
    this.waiters.set(service, waiters);
    return new Promise(resolve => {
      const finish = () => {
        waiters.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      waiters.add(finish);
      signal.addEventListener('abort', finish);
    });
  }

  /** Wakes the requests that wait for the loss of the links to a service. */
  notifyLost(service: string): void {
    this.waiters.get(service)?.forEach(finish => {
      finish();
    });
  }

  /** Records what a request showed of a link. */
  record({service, id}: routing.Upstream, evidence: LinkEvidence): void {
    const {links} = this.options;
    if (evidence !== 'failed') {
      links.recordAnswer(service, id, evidence === 'answered_new');
      return;
    }
    links.recordFailure(service, id);
    void this.checkIfDue(service);
  }

  /** Records that an upstream has not answered a request for `forMs`. */
  recordSilence(upstream: routing.Upstream, forMs: number): void {
    const {service, id} = upstream;
    this.options.links.recordSilence(service, id, forMs);
    this.options.onSilence(upstream, forMs);
    void this.checkIfDue(service);
  }

  /** Checks the services again whose upstreams are out of reach. */
  recheckLost(): void {
    const {links, findService} = this.options;
    for (const service of links.lostServices) {
      if (findService(service)) {
        void this.checkIfDue(service);
      } else {
        links.forget(service);
      }
    }
  }

  private async checkIfDue(name: string): Promise<void> {
    const {links, check, findUpstreams, findService, random} = this.options;
    const service = findService(name);
    const upstreams = findUpstreams(name);
    if (!service || !links.isCheckDue(name, upstreams.length)) {
      return;
    }
    links.beginCheck(name);
    const drawn = decisions.drawSample(upstreams, SAMPLE_SIZE, random);
    const results = await Promise.all(
      drawn.map(
        async upstream =>
          [upstream.id, await check(upstream, service)] as const,
      ),
    );
    links.endCheck(name, new Map(results));
  }
}
