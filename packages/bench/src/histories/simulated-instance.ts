/** One entry instance of a simulated run, with the product's own ledger. */
import * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import * as lifelines from './lifeline.js';

/** What an instance reaches of its peers. */
export interface Peers {
  /** Live peers in other zones as this instance believes, best first. */
  candidates(self: SimulatedInstance): readonly ledger.ReplicaCandidate[];
  isBelievedDead(incarnation: string): boolean;
  send(
    from: SimulatedInstance,
    peer: string,
    batch: ledger.CopyBatch,
  ): Promise<boolean>;
  askOwner(
    from: SimulatedInstance,
    incarnation: string,
    owner: string,
  ): Promise<ledger.OwnerStatus>;
}

/** What a simulated instance is made of. */
export interface SimulatedInstanceOptions {
  readonly incarnation: string;
  readonly zone: string;
  readonly clock: ports.Clock;
  readonly store: ports.ObjectStore;
  readonly random: () => number;
  readonly peers: Peers;
  readonly flushIntervalMs: number;
}

/** So few that a lane needs several segments. */
const MAX_SEGMENT_BILLS = 4;

const ROUND_MS = 1_000;

/** An entry instance that can be killed or paused between any two steps. */
export class SimulatedInstance {
  readonly lifeline: lifelines.Lifeline;
  readonly claims: ledger.ClaimLedger;
  readonly bills: ledger.BillLedger;
  readonly holder: ledger.CopyStore;
  private readonly copies: ledger.BillReplicator;
  private readonly clock: ports.Clock;
  /** Attempts that this instance serves now. */
  inProgress = 0;
  isLeaving = false;
  /** Whether no message reaches or leaves it. */
  isIsolated = false;
  private tokens = 0;

  constructor(private readonly options: SimulatedInstanceOptions) {
    const {incarnation, peers, random} = options;
    this.lifeline = new lifelines.Lifeline(options.clock);
    this.clock = this.lifeline.guardClock();
    const store = this.lifeline.guardStore(options.store);
    const shared = {store, clock: this.clock, random, incarnation};
    this.claims = new ledger.ClaimLedger({
      ...shared,
      newToken: () => `${incarnation}#${this.tokens++}`,
      queryOwner: (owner, token) =>
        this.lifeline.guard(peers.askOwner(this, owner, token)),
    });
    this.holder = new ledger.CopyStore({clock: this.clock});
    this.copies = new ledger.BillReplicator({
      quorum: ledger.DEFAULT_BILL_LIMITS.copyQuorum,
      candidates: () => peers.candidates(this),
      send: (peer, batch) => this.lifeline.guard(peers.send(this, peer, batch)),
      pending: () => this.bills.pending(),
    });
    this.bills = new ledger.BillLedger({
      ...shared,
      limits: {
        flushIntervalMs: options.flushIntervalMs,
        maxSegmentBills: MAX_SEGMENT_BILLS,
      },
      copyToPeers: batch => this.copies.replicate(batch),
    });
  }

  get incarnation(): string {
    return this.options.incarnation;
  }

  get zone(): string {
    return this.options.zone;
  }

  /** Starts the loops that the product's wiring runs. */
  start(): void {
    const never = new AbortController();
    void this.bills.run(never.signal);
    void this.runRounds();
  }

  /** Leaves as in a graceful shutdown; waits as long as the platform is out. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    while (this.inProgress > 0) {
      await this.clock.sleep(ROUND_MS);
    }
    await ledger.drainLedger({
      clock: this.clock,
      random: this.options.random,
      bills: this.bills,
      holder: this.holder,
      timeoutMs: Infinity,
    });
  }

  private async runRounds(): Promise<void> {
    for (;;) {
      await this.clock.sleep(ROUND_MS * (0.5 + this.options.random()));
      await this.runRound();
    }
  }

  private async runRound(): Promise<void> {
    const {peers} = this.options;
    await this.copies.refreshReplicas(this.incarnation);
    await this.holder.recoverDead(
      incarnation => peers.isBelievedDead(incarnation),
      (incarnation, pending) => this.bills.recover(incarnation, pending),
    );
    await this.claims.deleteVoidClaims();
  }
}
