/** One running entry instance: its parts, its loops, its planned stop. */
import * as entry from '@amaranthknot/entry';
import * as ledger from '@amaranthknot/ledger';
import * as billCopyWiring from './bill-copy-wiring.js';
import * as instanceWiring from './instance-wiring.js';
import type * as instanceComponents from './instance-components.js';
import type * as instanceOptions from './instance-options.js';
import * as loadPoller from './load-poller.js';
import * as rolloutWiring from './rollout-wiring.js';

/** How often the platform's instance list is read, in milliseconds. */
const LIST_INTERVAL_MS = 2_000;

/** How often copies of bills are renewed or recovered, in milliseconds. */
const COPIES_INTERVAL_MS = 3_000;

/** How often claims that were given up are cleared away, in ms. */
const SETTLE_INTERVAL_MS = 3_000;

/** How often ratings are sent and collected, in milliseconds. */
const RATING_INTERVAL_MS = 1_000;

/** Longest time to write bills at a planned stop, in milliseconds. */
const BILL_DRAIN_TIMEOUT_MS = 5_000;

/** How often a planned stop looks whether its requests are done, in ms. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/** Longest wait for one load report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

/** An entry instance. */
export class EntryInstance {
  private readonly get: instanceComponents.InstanceResolver;
  private readonly stopping = new AbortController();
  /** Names of the roll-out duties that this instance competes for. */
  private readonly rollouts = new Set<string>();
  private loops: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: instanceOptions.InstanceOptions) {
    this.get = instanceWiring.wireInstance(options);
  }

  /** Resolves one part, for tests and the demo. */
  get resolve(): instanceComponents.InstanceResolver {
    return this.get;
  }

  /** Starts serving; resolves when a configuration is known or cannot be. */
  async start(): Promise<void> {
    const {get} = this;
    get('events').record('instance_started');
    await get('server').start();
    await get('follower').start();
    const isListed = await this.refreshUpstreams();
    const reports = loadPoller.createLoadReader(REPORT_TIMEOUT_MS);
    // Before the first request: an upstream in cold start is not known as one
    // until it has reported.
    await loadPoller.pollLoad(get('directory'), get('warmUp'), reports);
    if (isListed) {
      get('server').open();
    }
    const {signal} = this.stopping;
    this.loops = Promise.all([
      get('bills').run(signal),
      this.repeat(LIST_INTERVAL_MS, () => this.refreshAndOpen()),
      this.repeat(loadPoller.REPORT_INTERVAL_MS, () =>
        loadPoller.pollLoad(get('directory'), get('warmUp'), reports),
      ),
      this.repeat(entry.GRANT_REQUEST_INTERVAL_MS, () =>
        get('warmUp').requestGrants(),
      ),
      this.repeat(COPIES_INTERVAL_MS, () => billCopyWiring.maintainCopies(get)),
      this.repeat(entry.SHARES_INTERVAL_MS, () =>
        rolloutWiring.updateRolloutTasks(get, this.rollouts),
      ),
      this.repeat(RATING_INTERVAL_MS, () => this.exchangeRatings()),
      this.repeat(SETTLE_INTERVAL_MS, () => get('claims').deleteVoidClaims()),
    ]);
    get('logger').info('serving', {
      address: this.options.advertise,
      generation: get('follower').activeGeneration(),
    });
  }

  /**
   * Graceful shutdown. Callers may hold this address for the directory's
   * max-age, so the instance first stops being offered, then serves on that
   * long and until the last request is done, and only then closes.
   */
  async stop(): Promise<void> {
    const {get} = this;
    const {clock, settings} = this.options;
    const {addressMaxAgeMs, stopGraceMs} = settings.limits;
    const deadline = clock.now() + stopGraceMs;
    get('events').record('instance_leaving');
    get('logger').info('leaving');
    get('server').leave();
    // Duties first: their successors begin while this instance still serves.
    await get('duties').stop();
    await get('follower').announceLeaving();
    await clock.sleep(addressMaxAgeMs);
    while (get('server').inProgress > 0 && clock.now() < deadline) {
      await clock.sleep(DRAIN_CHECK_INTERVAL_MS);
    }
    await get('server').stop();
    const drained = await ledger.drainLedger({
      clock,
      random: Math.random,
      bills: get('bills'),
      holder: get('copyHolder'),
      timeoutMs: BILL_DRAIN_TIMEOUT_MS,
    });
    if (!drained) {
      get('logger').warn('bills are left to the peers that hold copies');
    }
    this.stopping.abort();
    await get('follower').stop();
    await this.loops;
    get('transport').close();
    get('events').record('instance_stopped');
    get('logger').info('stopped');
  }

  private async exchangeRatings(): Promise<void> {
    await this.get('ratingDesk')?.exchange();
  }

  /** Lists the upstreams; an instance that knew none is ready then. */
  private async refreshAndOpen(): Promise<void> {
    if (await this.refreshUpstreams()) {
      this.get('server').open();
    }
  }

  /** Says whether the platform has answered. */
  private async refreshUpstreams(): Promise<boolean> {
    const listed = await this.get('instanceList').list();
    listed.caseOf({
      Left: ({code, message}) => {
        this.get('logger').warn('upstreams not listed', {code, message});
      },
      Right: instances => {
        this.get('directory').applyList(instances);
      },
    });
    return listed.isRight();
  }

  private async repeat(
    intervalMs: number,
    act: () => Promise<unknown>,
  ): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.stopping;
    for (;;) {
      await clock.sleep(intervalMs, signal);
      if (signal.aborted) {
        return;
      }
      await act();
    }
  }
}
