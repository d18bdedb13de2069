/**
 * Which entry instances exist and live, as one instance sees it: the platform's
 * list, which lags, corrected by signs of life, failed exchanges, and news sent
 * with exchanges. Pure: time and random numbers are arguments.
 */
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';

/**
 * Time after which a suspect instance counts as dead, in milliseconds, and what
 * each doubling of the fleet adds. A suspect learns of the suspicion through
 * news and refutes it by a higher incarnation. At one exchange each second,
 * news reaches 7 instances in about 2 s and 1,000 in about 10 s.
 */
const SUSPICION_MS = 3_000;
const SUSPECT_PER_DOUBLING_MS = 700;

/**
 * Time for which a dead instance is kept, in milliseconds, so that old news
 * does not bring it back, and zones that fell silent still count as zones.
 */
const DEAD_RETENTION_MS = 600_000;

/**
 * Number of times that an instance passes on a piece of news, per doubling of
 * the fleet. With 3, the news reaches all but a few in ten thousand instances;
 * the platform's list covers the rest.
 */
const NEWS_PER_DOUBLING = 3;

/**
 * Fraction of exchanges that are attempted with suspect or dead instances. It
 * is large enough that two halves of a network find each other again after a
 * partition, and small enough that timeouts do not slow the spread of a change.
 */
const DOUBTFUL_FRACTION = 0.1;

const RANKS: Readonly<Record<protocol.PeerState, number>> = {
  live: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

interface Row {
  peer: protocol.Peer;
  since: number;
  transmissionsLeft: number;
  isListed: boolean;
  isListedLeaving: boolean;
}

const isNewer = (a: protocol.Peer, b: protocol.Peer): boolean =>
  a.incarnation > b.incarnation ||
  (a.incarnation === b.incarnation && RANKS[a.state] > RANKS[b.state]);

/**
 * Whether a row is passed on as news. It is not if it only says that a listed
 * instance lives, which the list says too: when a whole fleet starts, such rows
 * would fill the messages of several minutes.
 */
const isNews = (peer: protocol.Peer, before: Row | undefined): boolean => {
  const wasListedLive = before?.isListed && before.peer.state === 'live';
  return (
    peer.incarnation > 0 && !(peer.state === 'live' && wasListedLive === true)
  );
};

/** The entry instances as one of them sees them. */
export class PeerTable {
  private readonly rows = new Map<string, Row>();
  /** Ids of the instances that are not yet drawn in this round. */
  private readonly round: string[] = [];

  /**
   * @param selfPeer this instance; each start has a higher incarnation, for
   *     instance the wall time of the start in milliseconds.
   */
  constructor(private selfPeer: protocol.Peer) {}

  /** This instance's own row, as sent to peers. */
  self(): protocol.Peer {
    return this.selfPeer;
  }

  /** All other instances, dead ones included. */
  all(): readonly protocol.Peer[] {
    return [...this.rows.values()].map(row =>
      row.isListedLeaving && row.peer.state === 'live'
        ? {...row.peer, state: 'leaving' as const}
        : row.peer,
    );
  }

  /** Number of instances that are not dead, this one included. */
  size(): number {
    return 1 + this.all().filter(peer => peer.state !== 'dead').length;
  }

  /**
   * Instances that may be given long-running tasks: neither leaving nor dead.
   */
  candidates(zone?: string): readonly protocol.Peer[] {
    return [this.selfPeer, ...this.all()]
      .filter(peer => peer.state === 'live' || peer.state === 'suspect')
      .filter(peer => zone === undefined || peer.zone === zone);
  }

  /** Zones that have instances, or had some lately; sorted. */
  zones(): readonly string[] {
    const zones = [this.selfPeer, ...this.all()].map(peer => peer.zone);
    return [...new Set(zones)].sort();
  }

  /** Merges the platform's list, which lags and may lack new instances. */
  applyList(listed: readonly ports.ListedInstance[], now: number): void {
    const entries = listed.filter(
      ({role, id}) => role === 'entry' && id !== this.selfPeer.id,
    );
    for (const row of this.rows.values()) {
      row.isListed = false;
      row.isListedLeaving = false;
    }
    for (const {id, address, zone, state} of entries) {
      this.merge({id, address, zone, state: 'live', incarnation: 0}, now);
      const row = this.rows.get(id);
      if (row) {
        row.isListed = true;
        row.isListedLeaving = state === 'leaving';
      }
    }
    for (const [id, row] of this.rows) {
      // Known only from an earlier list, so it is gone.
      if (!row.isListed && row.peer.incarnation === 0) {
        this.rows.delete(id);
      }
    }
  }

  /** Merges news that came with an exchange. */
  applyNews(rows: readonly protocol.Peer[], now: number): void {
    for (const peer of rows) {
      this.merge(peer, now);
    }
  }

  /** Records an instance's own row, just received from it: it lives. */
  recordContact(peer: protocol.Peer, now: number): void {
    const row = this.rows.get(peer.id);
    if (row?.peer.incarnation !== peer.incarnation) {
      this.merge(peer, now);
      return;
    }
    // If it is suspect at this incarnation, this instance counts it as live at
    // once. The others learn that when the suspect hears of the suspicion and
    // refutes it.
    row.peer = peer;
  }

  /** Records that an exchange with the instance failed. */
  recordFailure(id: string, now: number): void {
    const peer = this.rows.get(id)?.peer;
    switch (peer?.state) {
      case 'live':
        this.merge({...peer, state: 'suspect'}, now);
        return;
      case 'leaving':
        // It announced that it leaves, so one failure is enough.
        this.merge({...peer, state: 'dead'}, now);
        return;
      case 'suspect':
      case 'dead':
      case undefined:
        return;
    }
  }

  /** Sets this instance's row to leaving, with a higher incarnation. */
  markLeaving(): void {
    this.selfPeer = {
      ...this.selfPeer,
      state: 'leaving',
      incarnation: this.selfPeer.incarnation + 1,
    };
  }

  /** Declares suspects dead after their time, and removes those long dead. */
  expire(now: number): void {
    const suspectMs =
      SUSPICION_MS + SUSPECT_PER_DOUBLING_MS * Math.log2(this.size());
    for (const [id, row] of this.rows) {
      const age = now - row.since;
      if (row.peer.state === 'suspect' && age >= suspectMs) {
        this.merge({...row.peer, state: 'dead'}, now);
      }
      if (
        row.peer.state === 'dead' &&
        age >= DEAD_RETENTION_MS &&
        !row.isListed
      ) {
        this.rows.delete(id);
      }
    }
  }

  /**
   * Draws an instance to exchange with; undefined if none is known. Each live
   * one is drawn once in a shuffled round, which bounds the time until a given
   * one is heard again; independent draws do not.
   *
   * @param doubtfulFraction fraction of draws among suspect and dead instances.
   */
  draw(
    random: () => number,
    doubtfulFraction = DOUBTFUL_FRACTION,
  ): protocol.Peer | undefined {
    const doubtful = this.all().filter(
      ({state}) => state === 'suspect' || state === 'dead',
    );
    const others = this.all().filter(
      ({state}) => state === 'live' || state === 'leaving',
    );
    const isDoubtful = others.length === 0 || random() < doubtfulFraction;
    if (isDoubtful && doubtful.length > 0) {
      return doubtful[Math.floor(random() * doubtful.length)];
    }
    return this.drawInRound(others, random);
  }

  /**
   * Selects news for `receiver`, at most `limit` rows, those passed on least
   * often first. A suspicion of the receiver itself precedes them, so that it
   * can refute it.
   */
  selectNews(receiver: string, limit: number): protocol.Peer[] {
    const about = this.rows.get(receiver);
    const suspicion =
      about && RANKS[about.peer.state] >= RANKS.suspect ? [about.peer] : [];
    const selected = [...this.rows.values()]
      .filter(row => row.transmissionsLeft > 0 && row !== about)
      .sort((a, b) => b.transmissionsLeft - a.transmissionsLeft)
      .slice(0, limit - suspicion.length);
    for (const row of selected) {
      row.transmissionsLeft--;
    }
    return [...suspicion, ...selected.map(row => row.peer)];
  }

  private drawInRound(
    others: readonly protocol.Peer[],
    random: () => number,
  ): protocol.Peer | undefined {
    const byId = new Map(others.map(peer => [peer.id, peer]));
    for (;;) {
      const id = this.round.pop();
      if (id === undefined) {
        break;
      }
      const peer = byId.get(id);
      if (peer) {
        return peer;
      }
    }
    const shuffled = others
      .map(peer => ({peer, order: random()}))
      .sort((a, b) => a.order - b.order)
      .map(({peer}) => peer);
    this.round.push(...shuffled.slice(1).map(({id}) => id));
    return shuffled[0];
  }

  private newsRounds(): number {
    return Math.ceil(NEWS_PER_DOUBLING * Math.log2(this.size() + 1));
  }

  private merge(peer: protocol.Peer, now: number): void {
    if (peer.id === this.selfPeer.id) {
      this.refute(peer);
      return;
    }
    const row = this.rows.get(peer.id);
    if (row && !isNewer(peer, row.peer)) {
      return;
    }
    this.rows.set(peer.id, {
      peer,
      since: now,
      transmissionsLeft: isNews(peer, row) ? this.newsRounds() : 0,
      isListed: row?.isListed ?? false,
      isListedLeaving: row?.isListedLeaving ?? false,
    });
  }

  /**
   * Refutes news that this instance is suspect or dead.
   *
   * Guards against one lost exchange that makes a peer suspect a healthy
   * instance, which would then no longer be offered to callers. Only the
   * instance itself raises its incarnation, so its row overrides all news about
   * the earlier one.
   */
  private refute(news: protocol.Peer): void {
    const isSuspected = RANKS[news.state] >= RANKS.suspect;
    if (isSuspected && news.incarnation >= this.selfPeer.incarnation) {
      this.selfPeer = {
        ...this.selfPeer,
        incarnation: news.incarnation + 1,
      };
    }
  }
}
