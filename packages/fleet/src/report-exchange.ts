/**
 * Exchanges reports with peers, one at a time.
 *
 * Instances that watch the store exchange with each other, and those that a
 * watcher tells of the fleet leave it at a call in a while: where all tell each
 * other all they know, that costs more than callers' requests.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as memberTable from './member-table.js';

/** Parts that the exchange works with. */
export interface ReportExchangeOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly transport: protocol.PeerTransport;
  readonly members: memberTable.MemberTable;
  /** Whether a watcher tells this instance of the fleet. */
  readonly isTold: () => boolean;
  /** The instances that watch, this one among them if it does. */
  readonly findWatchers: () => readonly protocol.Member[];
  /** `host:port` of peers that the settings name. */
  readonly seeds: () => readonly string[];
  /** What this instance tells. */
  readonly createReport: () => protocol.FleetReport;
  /** Takes in what the peer at `address`, asked at that time, answered. */
  readonly onAnswer: (
    address: string,
    report: protocol.FleetReport,
    askedAtMs: number,
  ) => void;
}

/**
 * Time between two exchanges, in milliseconds. Seven instances all hear of a
 * change after about three rounds; what must be known everywhere within two
 * seconds then is, also when one exchange in two fails.
 */
export const ROUND_MS = 250;

/**
 * The same for an instance that a watcher tells of the fleet, in milliseconds.
 * What it learns this way matters only where watchers have lost each other.
 */
const TOLD_ROUND_MS = 2_000;

/** Longest wait for a peer, in milliseconds: some round trips and a pause. */
const PEER_TIMEOUT_MS = 700;

/**
 * Rounds between two calls of a seed or of an instance that went silent. Two
 * groups that lost each other find together again this way.
 */
const SEARCH_ROUNDS = 8;

/** Exchanges reports until it is told to stop. */
export class ReportExchange {
  private round = 0;

  constructor(private readonly options: ReportExchangeOptions) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random, members} = this.options;
    while (!signal.aborted) {
      members.beat();
      members.tick(clock.now());
      this.round++;
      void this.exchangeOnce();
      const roundMs = this.options.isTold() ? TOLD_ROUND_MS : ROUND_MS;
      await clock.sleep(roundMs * (0.8 + 0.4 * random()), signal);
    }
  }

  /** Tells all watchers at once, as when this instance leaves. */
  async tellWatchers(): Promise<void> {
    const {members, findWatchers} = this.options;
    const others = findWatchers().filter(({id}) => id !== members.self.id);
    await Promise.all(others.map(({peers}) => this.exchangeWith(peers)));
  }

  private async exchangeOnce(): Promise<void> {
    const address = this.choosePeer();
    if (address !== undefined) {
      await this.exchangeWith(address);
    }
  }

  private choosePeer(): string | undefined {
    const {clock, members, seeds} = this.options;
    const now = clock.now();
    const own = members.self.peers;
    const live = members.peers(now).map(({peers}) => peers);
    const lost = members.silent(now).map(({peers}) => peers);
    const searched = [...seeds(), ...lost].filter(
      address => address !== own && !live.includes(address),
    );
    const mustSearch = live.length === 0 || this.round % SEARCH_ROUNDS === 0;
    if (mustSearch && searched.length > 0) {
      return this.draw(searched);
    }
    const watchers = this.otherWatchers();
    return this.draw(watchers.length > 0 ? watchers : live);
  }

  /** Addresses of the other watchers, if this instance is one; else none. */
  private otherWatchers(): readonly string[] {
    const {id} = this.options.members.self;
    const watchers = this.options.findWatchers();
    return watchers.some(watcher => watcher.id === id)
      ? watchers.filter(watcher => watcher.id !== id).map(({peers}) => peers)
      : [];
  }

  private draw(addresses: readonly string[]): string | undefined {
    return addresses[Math.floor(this.options.random() * addresses.length)];
  }

  private async exchangeWith(address: string): Promise<void> {
    const {transport, members, createReport, onAnswer, clock} = this.options;
    const askedAtMs = clock.now();
    const answer = await protocol.callPeer(
      transport,
      address,
      'exchange_reports',
      createReport(),
      PEER_TIMEOUT_MS,
    );
    answer.caseOf({
      Left: () => {
        const peer = this.findByAddress(address);
        if (peer) {
          members.noteUnreachable(peer.id, clock.now());
        }
      },
      Right: report => {
        onAnswer(address, report, askedAtMs);
      },
    });
  }

  private findByAddress(address: string): protocol.Member | undefined {
    const {clock, members} = this.options;
    return members.peers(clock.now()).find(({peers}) => peers === address);
  }
}
