/**
 * Exchanges reports with peers, one at a time.
 *
 * Instances that watch the store exchange with each other, one that has just
 * started with any that it knows. Those that a watcher tells of the fleet do
 * not: where all tell each other all they know, that costs more than callers'
 * requests.
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
  /** Whether a watcher tells this instance of the fleet, and it is none. */
  readonly isFollower: () => boolean;
  /** The instances that watch, this one among them if it does. */
  readonly findWatchers: () => readonly protocol.Member[];
  /** `host:port` of peers that the settings name. */
  readonly seeds: () => readonly string[];
  /** What this instance tells the peer at `address`. */
  readonly createReport: (address: string) => protocol.FleetReport;
  /** Called when a peer gave no answer that is of use. */
  readonly onFailure: (address: string, error: protocol.PeerError) => void;
  /** Takes in what the peer at `address`, asked at that time, answered. */
  readonly onAnswer: (
    address: string,
    report: protocol.FleetReport,
    askedAtMs: number,
  ) => void;
}

/**
 * Time between two exchanges, in milliseconds. Nine watchers all hear of a
 * change after about four rounds; what must be known everywhere within two
 * seconds then is, also when one exchange in two fails.
 */
export const EXCHANGE_INTERVAL_MS = 250;

/** Longest wait for a peer, in milliseconds: some round trips and a pause. */
const EXCHANGE_TIMEOUT_MS = 700;

/**
 * Rounds between two calls of a seed or of an instance that went silent. Two
 * groups that lost each other find together again this way.
 */
const ROUNDS_PER_SEARCH = 8;

/** Exchanges reports until it is told to stop. */
export class ReportExchange {
  private round = 0;

  constructor(private readonly options: ReportExchangeOptions) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random, members, isFollower} = this.options;
    while (!signal.aborted) {
      members.beat();
      members.expire(clock.now());
      this.round++;
      if (!isFollower()) {
        void this.exchangeOnce();
      }
      await clock.sleep(EXCHANGE_INTERVAL_MS * (0.8 + 0.4 * random()), signal);
    }
  }

  /** Tells all watchers at once, as when this instance leaves. */
  async notifyWatchers(): Promise<void> {
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
    const mustSearch =
      live.length === 0 || this.round % ROUNDS_PER_SEARCH === 0;
    if (mustSearch && searched.length > 0) {
      return this.draw(searched);
    }
    return this.nextWatcher() ?? this.draw(live);
  }

  /**
   * The watcher whose turn it is, if this instance is one; any, if it is not.
   * Distances double from round to round, so that what one knows has reached
   * all others after as many rounds as their count has binary digits, where
   * draws would now and then leave one out for seconds.
   */
  private nextWatcher(): string | undefined {
    const {id} = this.options.members.self;
    const watchers = [...this.options.findWatchers()].sort((a, b) =>
      a.id < b.id ? -1 : 1,
    );
    const index = watchers.findIndex(watcher => watcher.id === id);
    if (index < 0) {
      return this.draw(watchers.map(({peers}) => peers));
    }
    const count = watchers.length;
    const turns = Math.max(1, Math.ceil(Math.log2(count)));
    const distance = 2 ** (this.round % turns);
    return count < 2 ? undefined : watchers[(index + distance) % count]?.peers;
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
      createReport(address),
      EXCHANGE_TIMEOUT_MS,
    );
    answer.caseOf({
      Left: error => {
        this.options.onFailure(address, error);
        const peer = this.findByAddress(address);
        if (peer) {
          members.recordUnreachable(peer.id, clock.now());
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
