/** Delays and drops messages between simulated instances. */
import type * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import type * as simulatedInstance from './simulated-instance.js';

/** Dependencies and faults of the network. */
export interface NetworkOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  /** Fraction of requests lost, and of answers. */
  readonly lossRate: number;
  readonly instances: () => readonly simulatedInstance.SimulatedInstance[];
  /** When an instance stopped answering; undefined while it answers. */
  readonly silentSince: (incarnation: string) => number | undefined;
}

const MESSAGE_TIMEOUT_MS = 250;

/** Time without an answer after which peers believe an instance dead. */
const SUSPICION_TIMEOUT_MS = 3_000;

/** Delivers messages, and tells instances which peers are alive. */
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
    return since !== undefined && now - since >= SUSPICION_TIMEOUT_MS;
  }

  send(
    from: simulatedInstance.SimulatedInstance,
    peer: string,
    batch: ledger.CopyBatch,
  ): Promise<boolean> {
    return this.call(from, peer, false, receiver =>
      receiver.holder.store(batch),
    );
  }

  queryOwner(
    from: simulatedInstance.SimulatedInstance,
    incarnation: string,
    owner: string,
  ): Promise<ledger.OwnerStatus> {
    return this.call<ledger.OwnerStatus>(
      from,
      incarnation,
      'no_answer',
      receiver => receiver.claims.getOwnerStatus(owner),
    );
  }

  private call<T>(
    from: simulatedInstance.SimulatedInstance,
    incarnation: string,
    timeoutResult: T,
    handle: (receiver: simulatedInstance.SimulatedInstance) => T,
  ): Promise<T> {
    const {clock} = this.options;
    const receiver = this.options
      .instances()
      .find(instance => instance.incarnation === incarnation);
    return new Promise(resolve => {
      void clock.sleep(MESSAGE_TIMEOUT_MS).then(() => resolve(timeoutResult));
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
    await this.awaitTransit();
    if (isCut() || this.isLost()) {
      return;
    }
    receiver.control.deliver(() => {
      const value = handle(receiver);
      if (!isCut() && !this.isLost()) {
        void this.awaitTransit().then(() => answer(value));
      }
    });
  }

  private awaitTransit(): Promise<void> {
    return this.options.clock.sleep(0.5 + this.options.random() * 4);
  }

  private isLost(): boolean {
    return this.options.random() < this.options.lossRate;
  }
}
