/**
 * Which gateway instances exist and live, as one of them sees it. An instance
 * lives if it is connected to this one, if a live group has it, or if a watcher
 * lists it. Pure: time is an argument.
 */
import type * as protocol from '@amaranthknot/protocol';
import * as memberGroups from './member-groups.js';
import * as memberList from './member-list.js';
import * as receivedList from './received-list.js';

/**
 * Time without a sign of life after which an instance counts as gone, in ms.
 * Watchers learn of changes in each other's groups within a second. Callers
 * must not be sent to a dead instance for longer than the time after which a
 * machine counts as stable again, which is at least three seconds.
 */
export const SILENT_MS = 2_500;

/**
 * Time after its last call for which an instance counts as connected, in ms:
 * four intervals of a follower's calls, and less than `SILENT_MS`, so that
 * others learn of a loss within that time.
 */
const CONNECTED_MS = 2_000;

/**
 * Time for which a silent instance still counts when shares are divided, in ms.
 * It may be cut off and still send: if it were removed at once, the others
 * would take over its share while it still uses it.
 */
const SHARE_RETENTION_MS = 30_000;

/** Time after which a silent instance is removed from the table, in ms. */
const RETENTION_MS = 120_000;

/**
 * Time for which a watcher's list is valid, in ms. A list comes with each
 * answer, several times a second.
 */
const WATCHER_LIST_TTL_MS = 1_200;

/**
 * Time for which an instance that did not answer counts as unreachable, in ms,
 * unless it restarts. By then others know whether it is gone.
 */
const UNREACHABLE_MS = 3_000;

interface Row {
  member: protocol.Member;
  /** When this instance last received a sign of life of it. */
  heardAtMs: number;
  /** When it last called this instance. */
  calledAtMs: number;
  /** Until then it counts as unreachable, since it did not answer. */
  unreachableUntilMs: number;
}

const isNewer = (a: protocol.Member, b: protocol.Member): boolean =>
  a.start > b.start || (a.start === b.start && a.revision > b.revision);

/**
 * Time for which a watcher keeps its list before it computes it again, in ms.
 * Each of its followers asks for it several times a second.
 */
const LIST_REFRESH_MS = 100;

/** All instances as one of them sees them. */
export class MemberTable {
  private readonly rows = new Map<string, Row>();
  private readonly groups = new memberGroups.MemberGroups({
    silentMs: SILENT_MS,
    retentionMs: RETENTION_MS,
  });
  private readonly list: memberList.MemberList;
  private readonly received = new receivedList.ReceivedList(
    WATCHER_LIST_TTL_MS,
  );
  /** When the list that this instance sends to others was last updated. */
  private listedAtMs = -Infinity;
  private beatCount = 0;
  private ownRevision = 0;
  private ownMembers: readonly protocol.Member[] = [];

  constructor(private selfRow: protocol.Member) {
    this.list = new memberList.MemberList(`${selfRow.id}.${selfRow.start}`);
  }

  /** This instance. */
  get self(): protocol.Member {
    return this.selfRow;
  }

  /** Increments the beat of this instance's group. */
  beat(): void {
    this.beatCount++;
  }

  /** Sets the phase that this instance reports of itself. */
  setPhase(phase: protocol.Member['phase']): void {
    this.updateSelf({phase});
  }

  /** Sets whether this instance reports the store as reached or lost. */
  setStore(store: protocol.Member['store']): void {
    if (store !== this.selfRow.store) {
      this.updateSelf({store});
    }
  }

  /** Sets the services of which this instance reports no link. */
  setLostServices(lostServices: readonly string[]): void {
    this.updateSelf({lostServices: [...lostServices]});
  }

  private updateSelf(changed: Partial<protocol.Member>): void {
    const revision = this.selfRow.revision + 1;
    this.selfRow = {...this.selfRow, ...changed, revision};
  }

  /**
   * Merges rows that a peer passed on.
   *
   * While a watcher's list is valid, only a new instance or a new start is
   * accepted: peers pass on rows of any age, and one that is a little newer
   * than this instance's would bring back an instance that is gone.
   */
  merge(members: readonly protocol.Member[], nowMs: number): void {
    const hasWatcherList = this.hasWatcherList(nowMs);
    for (const member of members) {
      const row = this.rows.get(member.id);
      const isAccepted = hasWatcherList
        ? row === undefined || member.start > row.member.start
        : row === undefined || isNewer(member, row.member);
      if (isAccepted) {
        this.set(member, nowMs);
      }
    }
  }

  /**
   * Records an instance that keeps a group itself, which shows that it lives.
   */
  recordKeeper(member: protocol.Member, nowMs: number): void {
    this.set(member, nowMs);
  }

  /** Records an instance that calls this one: it lives and is connected. */
  recordCaller(member: protocol.Member, nowMs: number): void {
    this.set(member, nowMs);
    const row = this.rows.get(member.id);
    if (row && member.start >= row.member.start) {
      row.calledAtMs = nowMs;
    }
  }

  /** Merges a peer's group states and members. */
  mergeGroups(
    states: readonly protocol.GroupState[],
    updates: readonly protocol.GroupMembers[],
    nowMs: number,
  ): void {
    const {id} = this.selfRow;
    const {alive, dropped} = this.groups.merge(
      states.filter(({keeper}) => keeper !== id),
      updates,
      nowMs,
    );
    alive.forEach(member => {
      this.set(member, nowMs);
    });
    this.drop(dropped, nowMs);
  }

  /** States of the live groups; this instance's own is the first. */
  groupStates(nowMs: number): readonly protocol.GroupState[] {
    this.refreshOwnGroup(nowMs);
    const {id, start} = this.selfRow;
    const own = {
      keeper: id,
      start,
      beat: this.beatCount,
      revision: this.ownRevision,
    };
    return [own, ...this.groups.states(nowMs)];
  }

  /** Members of the live groups that a peer with these states lacks. */
  groupMembersNewerThan(
    states: readonly protocol.GroupState[],
    nowMs: number,
  ): readonly protocol.GroupMembers[] {
    this.refreshOwnGroup(nowMs);
    const {id, start} = this.selfRow;
    const known = states.find(({keeper}) => keeper === id);
    const isKnown =
      known?.start === start && known.revision >= this.ownRevision;
    const own = {
      keeper: id,
      start,
      revision: this.ownRevision,
      members: [...this.ownMembers],
    };
    const others = this.groups.membersNewerThan(states, nowMs);
    return isKnown ? others : [own, ...others];
  }

  /** Whether this instance has a valid list from a watcher. */
  hasWatcherList(nowMs: number): boolean {
    return this.received.isValid(nowMs);
  }

  /** Version of the list that this instance has from the watcher. */
  watcherListVersion(watcherId: string): string {
    return this.received.versionFrom(watcherId);
  }

  /**
   * Applies a watcher's list of live instances; without a delta the list is
   * unchanged.
   */
  applyWatcherList(
    watcherId: string,
    version: string,
    delta: protocol.MemberListDelta | undefined,
    nowMs: number,
  ): void {
    const update = this.received.apply(watcherId, version, delta, nowMs);
    update.changed.forEach(member => {
      this.set(member, nowMs);
    });
    this.markSilent(update.lost, nowMs);
    update.live.forEach(id => {
      this.touch(id, nowMs);
    });
  }

  /**
   * Version of the list of live instances that this instance sends to others.
   */
  listVersion(nowMs: number): string {
    if (nowMs - this.listedAtMs >= LIST_REFRESH_MS) {
      this.listedAtMs = nowMs;
      this.list.update(this.live(nowMs));
    }
    return this.list.version;
  }

  /**
   * Returns what a receiver that has `version` of that list lacks, if anything.
   */
  listDelta(version: string): protocol.MemberListDelta | undefined {
    return this.list.deltaSince(version);
  }

  /** Records that an instance lives, and its row if that is newer. */
  private set(member: protocol.Member, nowMs: number): void {
    if (member.id === this.selfRow.id) {
      return;
    }
    const known = this.rows.get(member.id);
    if (known && member.start < known.member.start) {
      return;
    }
    if (!known || isNewer(member, known.member)) {
      const isSame = known?.member.start === member.start;
      this.rows.set(member.id, {
        member,
        heardAtMs: nowMs,
        calledAtMs: isSame ? known.calledAtMs : -Infinity,
        unreachableUntilMs: isSame ? known.unreachableUntilMs : -Infinity,
      });
      return;
    }
    known.heardAtMs = nowMs;
  }

  private touch(id: string, nowMs: number): void {
    const row = this.rows.get(id);
    if (row) {
      row.heardAtMs = nowMs;
    }
  }

  /** Marks instances as silent that are not connected and in no live group. */
  private drop(ids: readonly string[], nowMs: number): void {
    this.markSilent(
      ids.filter(id => {
        const row = this.rows.get(id);
        const isCalling = row && isConnected(row, nowMs);
        return !isCalling && !this.groups.hasMember(id, nowMs);
      }),
      nowMs,
    );
  }

  private markSilent(ids: readonly string[], nowMs: number): void {
    for (const id of ids) {
      const row = this.rows.get(id);
      if (row) {
        row.heardAtMs = Math.min(row.heardAtMs, nowMs - SILENT_MS - 1);
      }
    }
  }

  private refreshOwnGroup(nowMs: number): void {
    const callers = [...this.rows.values()]
      .filter(row => isConnected(row, nowMs))
      .map(row => row.member);
    const members = [this.selfRow, ...callers];
    const before = this.ownMembers;
    const isSame =
      members.length === before.length &&
      members.every((member, index) => member === before[index]);
    if (isSame) {
      return;
    }
    this.ownMembers = members;
    this.ownRevision++;
    this.drop(memberGroups.findDropped(before, members), nowMs);
  }

  /** Records that an instance did not answer a call. */
  recordUnreachable(id: string, nowMs: number): void {
    const row = this.rows.get(id);
    if (row) {
      row.unreachableUntilMs = nowMs + UNREACHABLE_MS;
    }
  }

  /** Instances known to live, this one included. */
  live(nowMs: number): readonly protocol.Member[] {
    return [this.selfRow, ...this.others(nowMs, SILENT_MS)];
  }

  /** Other instances that live, leaving ones included. */
  peers(nowMs: number): readonly protocol.Member[] {
    return this.others(nowMs, SILENT_MS);
  }

  /** Other instances that have been silent for longer than `SILENT_MS`. */
  silent(nowMs: number): readonly protocol.Member[] {
    return [...this.rows.values()]
      .filter(row => nowMs - row.heardAtMs > SILENT_MS)
      .map(row => row.member);
  }

  /**
   * Reachable instances that accept callers now, this one included if it does.
   */
  serving(nowMs: number): readonly protocol.Member[] {
    return this.reachable(nowMs).filter(({phase}) => phase === 'serving');
  }

  /**
   * Reachable instances that are not leaving, whether they accept callers yet
   * or not.
   */
  staying(nowMs: number): readonly protocol.Member[] {
    return this.reachable(nowMs).filter(({phase}) => phase !== 'leaving');
  }

  /**
   * Ids of the instances among which shares are divided, silent ones included.
   */
  idsForShares(nowMs: number): readonly string[] {
    const others = this.others(nowMs, SHARE_RETENTION_MS).map(({id}) => id);
    return [this.selfRow.id, ...others];
  }

  /** Removes instances and groups that have been silent for long. */
  expire(nowMs: number): void {
    this.groups.expire(nowMs);
    for (const [id, row] of this.rows) {
      if (nowMs - row.heardAtMs > RETENTION_MS) {
        this.rows.delete(id);
      }
    }
  }

  private reachable(nowMs: number): readonly protocol.Member[] {
    const others = [...this.rows.values()]
      .filter(
        ({heardAtMs, unreachableUntilMs}) =>
          nowMs - heardAtMs <= SILENT_MS && nowMs >= unreachableUntilMs,
      )
      .map(row => row.member);
    return [this.selfRow, ...others];
  }

  private others(nowMs: number, withinMs: number): readonly protocol.Member[] {
    return [...this.rows.values()]
      .filter(row => nowMs - row.heardAtMs <= withinMs)
      .map(row => row.member);
  }
}

const isConnected = ({calledAtMs}: Row, nowMs: number): boolean =>
  nowMs - calledAtMs <= CONNECTED_MS;
