/** A simulated entry instance that runs the real claim and bill ledgers. */
import * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import * as processControl from './process-control.js';

/** Access of an instance to its peers. */
export interface Peers {
  /** Peers in other zones that `self` believes to be alive, best first. */
  candidates(self: SimulatedInstance): readonly ledger.ReplicaCandidate[];
  isBelievedDead(incarnation: string): boolean;
  send(
    from: SimulatedInstance,
    peer: string,
    batch: ledger.CopyBatch,
  ): Promise<boolean>;
  queryOwner(
    from: SimulatedInstance,
    incarnation: string,
    owner: string,
  ): Promise<ledger.OwnerStatus>;
}

/** Identity and dependencies of a simulated instance. */
export interface SimulatedInstanceOptions {
  readonly incarnation: string;
  readonly zone: string;
  readonly clock: ports.Clock;
  readonly store: ports.ObjectStore;
  readonly random: () => number;
  readonly peers: Peers;
  readonly flushIntervalMs: number;
}

/** Small, so that a lane needs several segments. */
const MAX_SEGMENT_BILLS = 4;

const MAINTENANCE_INTERVAL_MS = 1_000;

/** An entry instance that can be killed or paused between any two steps. */
export class SimulatedInstance {
  readonly control: processControl.ProcessControl;
  readonly claims: ledger.ClaimLedger;
  readonly bills: ledger.BillLedger;
  readonly holder: ledger.CopyStore;
  private readonly replicator: ledger.BillReplicator;
  private readonly clock: ports.Clock;
  /** Number of attempts in progress. */
  inProgress = 0;
  isLeaving = false;
  /** Whether all messages to and from this instance are lost. */
  isIsolated = false;
  private tokens = 0;

  constructor(private readonly options: SimulatedInstanceOptions) {
    const {incarnation, peers, random} = options;
    this.control = new processControl.ProcessControl(options.clock);
    this.clock = this.control.guardClock();
    const store = this.control.guardStore(options.store);
    const shared = {store, clock: this.clock, random, incarnation};
    this.claims = new ledger.ClaimLedger({
      ...shared,
      newToken: () => `${incarnation}#${this.tokens++}`,
      queryOwner: (owner, token) =>
        this.control.guard(peers.queryOwner(this, owner, token)),
    });
    this.holder = new ledger.CopyStore({clock: this.clock});
    this.replicator = new ledger.BillReplicator({
      quorum: ledger.DEFAULT_BILL_LIMITS.copyQuorum,
      candidates: () => peers.candidates(this),
      send: (peer, batch) => this.control.guard(peers.send(this, peer, batch)),
      pending: () => this.bills.pending(),
    });
    this.bills = new ledger.BillLedger({
      ...shared,
      limits: {
        flushIntervalMs: options.flushIntervalMs,
        maxSegmentBills: MAX_SEGMENT_BILLS,
      },
      copyToPeers: batch => this.replicator.replicate(batch),
    });
  }

  get incarnation(): string {
    return this.options.incarnation;
  }

  get zone(): string {
    return this.options.zone;
  }

  /** Starts the background loops that an entry instance runs. */
  start(): void {
    const never = new AbortController();
    void this.bills.run(never.signal);
    void this.runMaintenance();
  }

  /** Shuts down gracefully; waits until the platform is available. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    while (this.inProgress > 0) {
      await this.clock.sleep(MAINTENANCE_INTERVAL_MS);
    }
    await ledger.drainLedger({
      clock: this.clock,
      random: this.options.random,
      bills: this.bills,
      holder: this.holder,
      timeoutMs: Infinity,
    });
  }

  private async runMaintenance(): Promise<void> {
    for (;;) {
      await this.clock.sleep(
        MAINTENANCE_INTERVAL_MS * (0.5 + this.options.random()),
      );
      await this.runMaintenanceRound();
    }
  }

  private async runMaintenanceRound(): Promise<void> {
    const {peers} = this.options;
    await this.replicator.refreshReplicas(this.incarnation);
    await this.holder.recoverDead(
      incarnation => peers.isBelievedDead(incarnation),
      (incarnation, pending) => this.bills.recover(incarnation, pending),
    );
    await this.claims.deleteVoidClaims();
  }
}
