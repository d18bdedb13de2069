/** Messages between simulated instances, late or lost. */
import type * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import type * as simulatedInstance from './simulated-instance.js';

/** How the network behaves. */
export interface NetworkOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  /** Share of messages lost, and as many answers. */
  readonly lossRate: number;
  readonly instances: () => readonly simulatedInstance.SimulatedInstance[];
  /** Since when an instance has been silent; undefined when it answers. */
  readonly silentSince: (incarnation: string) => number | undefined;
}

const MESSAGE_TIMEOUT_MS = 250;

/** Silence after which peers believe an instance dead. */
const SUSPICION_MS = 3_000;

/** The network and the view of it that membership gives. */
export class SimulatedNetwork implements simulatedInstance.Peers {
  constructor(private readonly options: NetworkOptions) {}

  candidates(
    self: simulatedInstance.SimulatedInstance,
  ): readonly ledger.ReplicaCandidate[] {
    return this.options
      .instances()
      .filter(peer => peer.zone !== self.zone && !peer.isLeaving)
      .filter(peer => !this.isBelievedDead(peer.incarnation))
      .map(peer => ({id: peer.incarnation, zone: peer.zone}));
  }

  isBelievedDead(incarnation: string): boolean {
    const since = this.options.silentSince(incarnation);
    const now = this.options.clock.now();
    return since !== undefined && now - since >= SUSPICION_MS;
  }

  send(
    from: simulatedInstance.SimulatedInstance,
    peer: string,
    batch: ledger.CopyBatch,
  ): Promise<boolean> {
    return this.ask(from, peer, false, receiver =>
      receiver.holder.store(batch),
    );
  }

  askOwner(
    from: simulatedInstance.SimulatedInstance,
    incarnation: string,
    owner: string,
  ): Promise<ledger.OwnerStatus> {
    return this.ask<ledger.OwnerStatus>(
      from,
      incarnation,
      'no_answer',
      receiver => receiver.claims.getOwnerStatus(owner),
    );
  }

  private ask<T>(
    from: simulatedInstance.SimulatedInstance,
    incarnation: string,
    timedOut: T,
    handle: (receiver: simulatedInstance.SimulatedInstance) => T,
  ): Promise<T> {
    const {clock} = this.options;
    const receiver = this.options
      .instances()
      .find(instance => instance.incarnation === incarnation);
    return new Promise(resolve => {
      void clock.sleep(MESSAGE_TIMEOUT_MS).then(() => resolve(timedOut));
      if (receiver) {
        const isCut = () => from.isIsolated || receiver.isIsolated;
        void this.deliver(receiver, isCut, handle, resolve);
      }
    });
  }

  private async deliver<T>(
    receiver: simulatedInstance.SimulatedInstance,
    isCut: () => boolean,
    handle: (receiver: simulatedInstance.SimulatedInstance) => T,
    answer: (value: T) => void,
  ): Promise<void> {
    await this.travel();
    if (isCut() || this.isLost()) {
      return;
    }
    receiver.lifeline.deliver(() => {
      const value = handle(receiver);
      if (!isCut() && !this.isLost()) {
        void this.travel().then(() => answer(value));
      }
    });
  }

  private travel(): Promise<void> {
    return this.options.clock.sleep(0.5 + this.options.random() * 4);
  }

  private isLost(): boolean {
    return this.options.random() < this.options.lossRate;
  }
}
