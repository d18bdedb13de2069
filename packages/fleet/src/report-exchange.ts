/**
 * Exchanges reports with one peer at a time.
 *
 * Watchers exchange with each other, and an instance that has just started with
 * any instance that it knows. Followers, which get the state of the fleet from
 * a watcher, do not exchange: if all instances sent each other all they know,
 * that would cost more than the callers' requests.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as memberTable from './member-table.js';

/** Dependencies and settings of a `ReportExchange`. */
export interface ReportExchangeOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly transport: protocol.PeerTransport;
  readonly members: memberTable.MemberTable;
  /**
   * Whether this instance gets the state of the fleet from a watcher, and is no
   * watcher itself.
   */
  readonly isFollower: () => boolean;
  /** All watchers, this instance among them if it is one. */
  readonly findWatchers: () => readonly protocol.Member[];
  /** `host:port` of the peers in the settings. */
  readonly seeds: () => readonly string[];
  /** Creates the report for the peer at `address`. */
  readonly createReport: (address: string) => protocol.FleetReport;
  /** Called when a peer gave no usable answer. */
  readonly onFailure: (address: string, error: protocol.PeerError) => void;
  /**
   * Called with the report that the peer at `address` answered, and when it was
   * asked.
   */
  readonly onAnswer: (
    address: string,
    report: protocol.FleetReport,
    askedAtMs: number,
  ) => void;
}

/**
 * Time between two exchanges, in milliseconds. A change reaches all of nine
 * watchers in about four rounds, so what must be known everywhere within two
 * seconds is, even when every second exchange fails.
 */
export const EXCHANGE_INTERVAL_MS = 250;

/**
 * Longest wait for a peer, in milliseconds: enough for some round trips and a
 * pause of the peer's process.
 */
const EXCHANGE_TIMEOUT_MS = 700;

/**
 * Number of rounds after which a seed or a silent instance is called. This
 * reconnects two parts of the fleet that lost contact with each other.
 */
const ROUNDS_PER_SEARCH = 8;

/** Exchanges reports until it is aborted. */
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

  /** Exchanges with all watchers at once, as when this instance leaves. */
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
    const notLive = [...seeds(), ...lost].filter(
      address => address !== own && !live.includes(address),
    );
    const isSearchRound =
      live.length === 0 || this.round % ROUNDS_PER_SEARCH === 0;
    if (isSearchRound && notLive.length > 0) {
      return this.draw(notLive);
    }
    return this.nextWatcher() ?? this.draw(live);
  }

  /**
   * Address of the next watcher in a fixed order if this instance is a watcher,
   * otherwise of a random one.
   *
   * The distance in the order of ids doubles from round to round. What one
   * watcher knows thus reaches all others after as many rounds as their count
   * has binary digits. Random draws would sometimes leave a watcher out for
   * seconds.
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
    const roundCount = Math.max(1, Math.ceil(Math.log2(count)));
    const distance = 2 ** (this.round % roundCount);
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
