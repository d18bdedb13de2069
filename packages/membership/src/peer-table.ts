/**
 * Which entry instances exist and live, as one instance sees it: the
 * platform's lagging list, corrected by signs of life, failed exchanges and
 * news that ride on exchanges. Pure: time and random numbers are arguments.
 */
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';

/**
 * Time from suspicion to death, in milliseconds, and what each doubling of the
 * fleet adds. A suspected instance hears of it through news and refutes it by
 * a higher incarnation; news reaches 7 instances in about 2 s and 1,000 in
 * about 10 s at one exchange each second.
 */
const SUSPICION_MS = 3_000;
const SUSPECT_PER_DOUBLING_MS = 700;

/**
 * Time that a dead instance is remembered, in milliseconds, so that old news
 * does not bring it back, and zones that fell silent still count as zones.
 */
const DEAD_RETENTION_MS = 600_000;

/**
 * Times that a piece of news is passed on, per doubling of the fleet. Three
 * reach all but a few in ten thousand; the platform's list covers the rest.
 */
const NEWS_PER_DOUBLING = 3;

/**
 * Share of exchanges tried with instances held for suspect or dead: enough
 * that two halves of a healed network find each other again, few enough that
 * timeouts do not slow the spread of a change.
 */
const DOUBTFUL_SHARE = 0.1;

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
 * Whether others should be told. That a listed instance lives is known from
 * the list; told again when a whole fleet starts, it would fill the messages
 * of minutes.
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
  /** Instances still to come in this round of draws. */
  private readonly round: string[] = [];

  /**
   * @param selfPeer this instance; each start has a higher incarnation, for
   * instance the wall time of the start in milliseconds.
   */
  constructor(private selfPeer: protocol.Peer) {}

  /** This instance as it presents itself. */
  self(): protocol.Peer {
    return this.selfPeer;
  }

  /** All instances but this one; dead ones included. */
  all(): readonly protocol.Peer[] {
    return [...this.rows.values()].map(row =>
      row.isListedLeaving && row.peer.state === 'live'
        ? {...row.peer, state: 'leaving' as const}
        : row.peer,
    );
  }

  /** Instances that are not dead, this one included. */
  size(): number {
    return 1 + this.all().filter(peer => peer.state !== 'dead').length;
  }

  /** Instances that take on lasting work: neither leaving nor dead. */
  candidates(zone?: string): readonly protocol.Peer[] {
    return [this.selfPeer, ...this.all()]
      .filter(peer => peer.state === 'live' || peer.state === 'suspect')
      .filter(peer => zone === undefined || peer.zone === zone);
  }

  /** Zones that have, or lately had, instances; sorted. */
  zones(): readonly string[] {
    const zones = [this.selfPeer, ...this.all()].map(peer => peer.zone);
    return [...new Set(zones)].sort();
  }

  /** Takes in the platform's list, which lags and may lack newcomers. */
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
      // Never heard of but through an older list: it is gone.
      if (!row.isListed && row.peer.incarnation === 0) {
        this.rows.delete(id);
      }
    }
  }

  /** Takes in news that came with an exchange. */
  applyNews(rows: readonly protocol.Peer[], now: number): void {
    for (const peer of rows) {
      this.merge(peer, now);
    }
  }

  /** Takes in what an instance said of itself just now: it lives. */
  recordContact(peer: protocol.Peer, now: number): void {
    const row = this.rows.get(peer.id);
    if (row?.peer.incarnation !== peer.incarnation) {
      this.merge(peer, now);
      return;
    }
    // Suspected at this very incarnation: alive to this instance at once. The
    // others learn it when the suspect hears of the rumour and refutes it.
    row.peer = peer;
  }

  /** An exchange with the instance failed. */
  recordFailure(id: string, now: number): void {
    const peer = this.rows.get(id)?.peer;
    switch (peer?.state) {
      case 'live':
        this.merge({...peer, state: 'suspect'}, now);
        return;
      case 'leaving':
        // It said that it would go, so its silence needs no second look.
        this.merge({...peer, state: 'dead'}, now);
        return;
      case 'suspect':
      case 'dead':
      case undefined:
        return;
    }
  }

  /** Announces that this instance leaves. */
  markLeaving(): void {
    this.selfPeer = {
      ...this.selfPeer,
      state: 'leaving',
      incarnation: this.selfPeer.incarnation + 1,
    };
  }

  /** Declares overdue suspects dead, and forgets those long dead. */
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
   * Draws an instance to exchange with; undefined when none is known. Each
   * live one comes once in a shuffled round, which bounds the time until a
   * given one is heard again, as plain draws do not.
   *
   * @param doubtfulShare share of draws among suspect and dead instances.
   */
  draw(
    random: () => number,
    doubtfulShare = DOUBTFUL_SHARE,
  ): protocol.Peer | undefined {
    const doubtful = this.all().filter(
      ({state}) => state === 'suspect' || state === 'dead',
    );
    const others = this.all().filter(
      ({state}) => state === 'live' || state === 'leaving',
    );
    const isDoubtful = others.length === 0 || random() < doubtfulShare;
    if (isDoubtful && doubtful.length > 0) {
      return doubtful[Math.floor(random() * doubtful.length)];
    }
    return this.drawInRound(others, random);
  }

  /**
   * News for `receiver`, at most `limit` rows, least told first. What is held
   * against the receiver itself comes first, so that it can refute it.
   */
  selectNews(receiver: string, limit: number): protocol.Peer[] {
    const about = this.rows.get(receiver);
    const accused =
      about && RANKS[about.peer.state] >= RANKS.suspect ? [about.peer] : [];
    const told = [...this.rows.values()]
      .filter(row => row.transmissionsLeft > 0 && row !== about)
      .sort((a, b) => b.transmissionsLeft - a.transmissionsLeft)
      .slice(0, limit - accused.length);
    for (const row of told) {
      row.transmissionsLeft--;
    }
    return [...accused, ...told.map(row => row.peer)];
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
   * Answers a rumour of this instance's death. The failure: one lost exchange
   * makes a peer suspect a healthy instance, which callers would no longer
   * be offered. Only the instance itself raises its incarnation, so its word
   * beats every rumour of the earlier one.
   */
  private refute(rumour: protocol.Peer): void {
    const isAccused = RANKS[rumour.state] >= RANKS.suspect;
    if (isAccused && rumour.incarnation >= this.selfPeer.incarnation) {
      this.selfPeer = {
        ...this.selfPeer,
        incarnation: rumour.incarnation + 1,
      };
    }
  }
}
