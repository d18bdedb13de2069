/**
 * Runs named leased tasks, such as one rollout or the commands to one pool of
 * upstreams. Each runs on one instance at a time: the one that holds the task's
 * lease.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import * as leaseKeeper from './lease-keeper.js';
import type * as peerTable from './peer-table.js';

/**
 * Number of instances that compete for a task's lease, chosen by rendezvous
 * hash. Two, so that one may die. If all 1,000 instances read each lease, that
 * would exceed what the platform accepts.
 */
export const TASK_CANDIDATES = 2;

/**
 * Time between renewals, and between checks of a lease held elsewhere, in
 * milliseconds, with 10 % jitter. A lease lasts 10 s, so two renewals may be
 * lost before it expires.
 */
const RENEWAL_INTERVAL_MS = 3_000;

/** The term during which a task may run, as passed to its work. */
export interface TaskTerm {
  /**
   * Fencing number to send with each command; later holders have higher ones.
   */
  readonly fencing: number;
  /** Whether a command may be sent now. Call it before each one. */
  mayAct(): boolean;
  /**
   * Aborts when the task must stop: the lease is lost, or the instance leaves.
   */
  readonly signal: AbortSignal;
}

/**
 * The work of a task. It returns soon after the signal aborts, or when it has
 * nothing left to do; it is then run again on the instance that next takes the
 * lease.
 */
export type LeasedTask = (term: TaskTerm) => Promise<void>;

/** Dependencies and settings of a `LeasedTaskRunner`. */
export interface LeasedTaskRunnerOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly peers: peerTable.PeerTable;
  /** Creates a token that is globally unique. */
  readonly createToken: () => string;
  readonly leaseMs?: number;
}

interface RunningTask {
  readonly stopping: AbortController;
  readonly done: Promise<void>;
  readonly keeper: leaseKeeper.LeaseKeeper;
}

/** Runs tasks on this instance while it holds their leases. */
export class LeasedTaskRunner {
  private readonly tasks = new Map<string, RunningTask>();
  private isStopped = false;

  constructor(private readonly options: LeasedTaskRunnerOptions) {}

  /**
   * Begins to compete for a task's lease. Does nothing if the name is known.
   */
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

  /** Stops a task here and releases its lease. */
  async remove(name: string): Promise<void> {
    const task = this.tasks.get(name);
    this.tasks.delete(name);
    task?.stopping.abort();
    await task?.done;
  }

  /** Names of the tasks that this instance may act on now; sorted. */
  heldTasks(): readonly string[] {
    return [...this.tasks]
      .filter(([, task]) => task.keeper.mayAct())
      .map(([name]) => name)
      .sort();
  }

  /**
   * Hands over all tasks: their work stops, then their leases are released, so
   * that successors begin at once instead of after the leases expire. Called
   * before the instance leaves; afterwards it accepts no more tasks.
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

  /**
   * Runs the work and renews the lease until the work is done, the lease is
   * lost, or the task is stopped.
   */
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
      // A task that fails is run again after a while, here or elsewhere; its
      // own log gives the reason.
      .catch(() => undefined)
      .finally(() => ended.abort());
    await this.renew(keeper, AbortSignal.any([signal, ended.signal]));
    lost.abort();
    // The lease is held, but not renewed, until the work has stopped.
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
