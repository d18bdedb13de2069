/**
 * Runs named duties, such as one roll-out or the orders to one pool, each on
 * one instance at a time: the one that holds the duty's lease.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import * as leaseKeeper from './lease-keeper.js';
import type * as peerTable from './peer-table.js';

/**
 * Instances that try to take a duty's lease: its best by rendezvous hash. Two,
 * so that one may die; were it all, 1,000 instances would each read each
 * lease, beyond what the platform takes.
 */
export const TASK_CANDIDATES = 2;

/**
 * Time between renewals, and between looks at a lease held elsewhere, in
 * milliseconds, spread by a tenth. Two renewals may be lost before a lease of
 * 10 s lapses.
 */
const RENEWAL_INTERVAL_MS = 3_000;

/** What a duty's work gets. */
export interface TaskTerm {
  /** Number to send with each order; a later holder's is higher. */
  readonly fencing: number;
  /** Whether an order may be given now; asked before each one. */
  mayAct(): boolean;
  /** Aborts when the duty must stop: lease lost, or instance leaving. */
  readonly signal: AbortSignal;
}

/**
 * A duty's work. It returns soon after the signal aborts, or when it has
 * nothing left to do; it is then run again on whoever takes the lease.
 */
export type LeasedTask = (term: TaskTerm) => Promise<void>;

/** Parts that a runner works with. */
export interface LeasedTaskRunnerOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly peers: peerTable.PeerTable;
  /** Draws a token that is never drawn again, anywhere. */
  readonly createToken: () => string;
  readonly leaseMs?: number;
}

interface RunningTask {
  readonly stopping: AbortController;
  readonly done: Promise<void>;
  readonly keeper: leaseKeeper.LeaseKeeper;
}

/** Runs duties on this instance while it holds their leases. */
export class LeasedTaskRunner {
  private readonly tasks = new Map<string, RunningTask>();
  private isStopped = false;

  constructor(private readonly options: LeasedTaskRunnerOptions) {}

  /** Begins to compete for a duty; a name that is known is left alone. */
  add(name: string, work: LeasedTask): void {
    if (this.isStopped || this.tasks.has(name)) {
      return;
    }
    const {store, clock, peers, createToken, leaseMs} = this.options;
    const stopping = new AbortController();
    const keeper = new leaseKeeper.LeaseKeeper({
      store,
      clock,
      name,
      holder: peers.self().id,
      token: createToken(),
      ...(leaseMs === undefined ? {} : {leaseMs}),
    });
    const done = this.compete(name, work, keeper, stopping.signal);
    this.tasks.set(name, {stopping, done, keeper});
  }

  /** Stops a duty here and gives its lease up. */
  async remove(name: string): Promise<void> {
    const task = this.tasks.get(name);
    this.tasks.delete(name);
    task?.stopping.abort();
    await task?.done;
  }

  /** Names of the duties that this instance may act on now; sorted. */
  heldTasks(): readonly string[] {
    return [...this.tasks]
      .filter(([, task]) => task.keeper.mayAct())
      .map(([name]) => name)
      .sort();
  }

  /**
   * Hands all duties over: work stops first, then the leases are given up, so
   * that successors begin at once instead of after a lapse. Called before the
   * instance leaves; afterwards it takes no more.
   */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all([...this.tasks.keys()].map(name => this.remove(name)));
  }

  private async compete(
    name: string,
    work: LeasedTask,
    keeper: leaseKeeper.LeaseKeeper,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      if (this.isCandidate(name)) {
        const taken = await keeper.acquire();
        if (taken.isRight()) {
          await this.hold(taken.unsafeCoerce(), work, keeper, signal);
        }
      }
      await this.sleep(RENEWAL_INTERVAL_MS, signal);
    }
  }

  /** Works and renews until the work is done, the lease lost, or a stop. */
  private async hold(
    term: leaseKeeper.LeaseTerm,
    work: LeasedTask,
    keeper: leaseKeeper.LeaseKeeper,
    signal: AbortSignal,
  ): Promise<void> {
    const lost = new AbortController();
    const ended = new AbortController();
    const working = work({
      fencing: term.fencing,
      mayAct: () => keeper.mayAct() && !signal.aborted,
      signal: AbortSignal.any([signal, lost.signal]),
    })
      // A duty that fails is tried again, here or elsewhere, after a while;
      // its own log says why.
      .catch(() => undefined)
      .finally(() => ended.abort());
    await this.renew(keeper, AbortSignal.any([signal, ended.signal]));
    lost.abort();
    // The lease is kept until the work has stopped, and not renewed.
    await working;
    await keeper.release();
  }

  private async renew(
    keeper: leaseKeeper.LeaseKeeper,
    signal: AbortSignal,
  ): Promise<void> {
    while (keeper.mayAct()) {
      await this.sleep(RENEWAL_INTERVAL_MS, signal);
      if (signal.aborted) {
        return;
      }
      await keeper.renew();
    }
  }

  private isCandidate(name: string): boolean {
    const {peers} = this.options;
    const ids = peers.candidates().map(peer => peer.id);
    return decisions
      .rankByRendezvous(`duty/${name}`, ids, TASK_CANDIDATES)
      .includes(peers.self().id);
  }

  private sleep(ms: number, signal: AbortSignal): Promise<void> {
    const {clock, random} = this.options;
    return clock.sleep(ms * (0.9 + 0.2 * random()), signal);
  }
}
