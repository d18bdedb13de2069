/**
 * Runs one entry instance: wires its components, starts its loops, and stops it
 * gracefully.
 *
 * The graceful stop guards against refused callers that still have this
 * instance's address, and against the loss of bills that are not written yet.
 */
import * as entry from '@amaranthknot/entry';
import * as ledger from '@amaranthknot/ledger';
import * as billCopyWiring from './bill-copy-wiring.js';
import * as instanceWiring from './instance-wiring.js';
import type * as instanceComponents from './instance-components.js';
import type * as instanceOptions from './instance-options.js';
import type * as describeFailure from './describe-failure.js';
import * as loadPoller from './load-poller.js';
import * as rolloutWiring from './rollout-wiring.js';
import type * as stopRequest from './stop-request.js';

/** Interval at which the platform's instance list is read, in milliseconds. */
const LIST_INTERVAL_MS = 2_000;

/** Interval at which copies of bills are refreshed or recovered, in ms. */
const COPIES_INTERVAL_MS = 3_000;

/** Interval at which void claims are deleted, in milliseconds. */
const VOID_CLAIMS_INTERVAL_MS = 3_000;

/** Interval at which ratings are sent and collected, in milliseconds. */
const RATING_INTERVAL_MS = 1_000;

/** Longest time to write bills at a graceful stop, in milliseconds. */
const BILL_DRAIN_TIMEOUT_MS = 5_000;

/** Interval at which a graceful stop checks for open requests, in ms. */
const DRAIN_CHECK_INTERVAL_MS = 50;

const MS_PER_S = 1_000;

/** Timeout of one load report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

/** An entry instance and its life cycle. */
export class EntryInstance {
  private readonly get: instanceComponents.InstanceResolver;
  private readonly stopping = new AbortController();
  /** Names of the leased rollout tasks that this instance competes for. */
  private readonly rollouts = new Set<string>();
  private loops: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: instanceOptions.InstanceOptions) {
    this.get = instanceWiring.wireInstance(options);
  }

  /** Resolver of the components, for tests and the demo. */
  get resolve(): instanceComponents.InstanceResolver {
    return this.get;
  }

  /**
   * Starts the servers and loops. Resolves when a configuration is known or
   * can't be read.
   */
  async start(): Promise<void> {
    const {get} = this;
    get('events').record('instance_started');
    await get('server').start();
    await get('follower').start();
    const isListed = await this.refreshUpstreams();
    const readLoad = loadPoller.createLoadReader(REPORT_TIMEOUT_MS);
    // Before the first request: an upstream is not known to be in cold start
    // until it has reported its load.
    await loadPoller.pollLoad(get('directory'), get('warmUpLimiter'), readLoad);
    if (isListed) {
      get('server').open();
    }
    const {signal} = this.stopping;
    this.loops = Promise.all([
      get('bills').run(signal),
      this.repeat(LIST_INTERVAL_MS, () => this.refreshAndOpen()),
      this.repeat(loadPoller.REPORT_INTERVAL_MS, () =>
        loadPoller.pollLoad(get('directory'), get('warmUpLimiter'), readLoad),
      ),
      this.repeat(entry.GRANT_REQUEST_INTERVAL_MS, () =>
        get('warmUpLimiter').requestGrants(),
      ),
      this.repeat(COPIES_INTERVAL_MS, () => billCopyWiring.maintainCopies(get)),
      this.repeat(entry.SHARES_INTERVAL_MS, () =>
        rolloutWiring.updateRolloutTasks(get, this.rollouts),
      ),
      this.repeat(RATING_INTERVAL_MS, () => this.exchangeRatings()),
      this.repeat(VOID_CLAIMS_INTERVAL_MS, () =>
        get('claims').deleteVoidClaims(),
      ),
    ]);
    get('logger').info('serving', {
      address: this.options.advertise,
      generation: get('follower').activeGeneration(),
    });
  }

  /**
   * Stops gracefully. Callers may use this instance's address for the
   * directory's max-age. So the instance is first no longer offered, then
   * serves for that time and until the last request ends, and closes last.
   */
  async stop(reason: stopRequest.StopReason = 'call'): Promise<void> {
    const {get} = this;
    const {clock, settings} = this.options;
    const {addressMaxAgeMs, stopGraceMs} = settings.limits;
    const deadline = clock.now() + stopGraceMs;
    get('events').record('instance_leaving');
    get('logger').info('leaving', {reason});
    get('server').leave();
    // Leased tasks stop first, so that other instances take them over while
    // this one still serves.
    await get('leasedTaskRunner').stop();
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
      holder: get('copyStore'),
      timeoutMs: BILL_DRAIN_TIMEOUT_MS,
    });
    if (!drained) {
      get('logger').warn(
        'bills not written in time; peers that hold copies will recover them',
      );
    }
    this.stopping.abort();
    await get('follower').stop();
    await this.loops;
    get('transport').close();
    get('events').record('instance_stopped');
    get('logger').info('stopped', {reason});
  }

  /** Logs and counts an error that nothing handled. */
  recordFailure(failure: describeFailure.Failure): void {
    const {get} = this;
    get('metrics').failures.inc({kind: failure.kind});
    get('events').record('process_failing', {detail: failure.reason});
    get('logger').error('process_failing', {
      ...failure,
      inProgress: get('server').inProgress,
      uptimeMs: Math.round(process.uptime() * MS_PER_S),
    });
  }

  private async exchangeRatings(): Promise<void> {
    await this.get('ratingSampler')?.exchange();
  }

  /** Lists the upstreams, and opens the server on the first success. */
  private async refreshAndOpen(): Promise<void> {
    if (await this.refreshUpstreams()) {
      this.get('server').open();
    }
  }

  /** Returns whether the platform has answered. */
  private async refreshUpstreams(): Promise<boolean> {
    const listed = await this.get('instanceList').list();
    listed.caseOf({
      Left: ({code, message}) => {
        this.get('logger').warn(
          'listing upstreams failed; keeping the known ones',
          {code, message},
        );
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
