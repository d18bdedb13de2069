/**
 * Which gateway instances there are and live, as one of them sees it. An
 * instance lives if it is on the line itself, if a group that is kept up has
 * it, or if a watcher says so. Pure: time is an argument.
 */
import type * as protocol from '@amaranthknot/protocol';
import * as memberGroups from './member-groups.js';
import * as memberList from './member-list.js';

/**
 * Time without a sign of life after which an instance counts as gone, in ms.
 * Watchers hear of each other's groups in a second; callers must not be sent
 * to a dead instance for longer than the time that a machine needs to count as
 * calm again, three seconds at the least.
 */
export const SILENT_MS = 2_500;

/**
 * Time after its last call for which an instance counts as on the line, in ms:
 * four of the calls that one makes which is told of the fleet, and less than
 * it may be silent, so that others hear of a loss in the same time.
 */
const CONNECTED_MS = 2_000;

/**
 * Time for which a silent instance still counts where shares are worked out,
 * in ms. It may be cut off and still send: forgotten at once, the others would
 * take over its share while it uses it.
 */
const SHARE_RETENTION_MS = 30_000;

/** Time after which a silent instance is forgotten, in ms. */
const RETENTION_MS = 120_000;

/**
 * Time for which a watcher's word on who lives counts, in ms: it comes with
 * each answer, several times a second.
 */
const WATCHER_LIST_TTL_MS = 1_200;

/**
 * Time for which an instance that did not answer counts as unreachable, unless
 * a new start of it is heard of, in ms: by then others have heard whether it
 * is gone.
 */
const UNREACHABLE_MS = 3_000;

interface Row {
  member: protocol.Member;
  /** When it last showed a sign of life here. */
  heardAtMs: number;
  /** When it last called this instance. */
  calledAtMs: number;
  /** Until then it counts as unreachable: it did not answer. */
  unreachableUntilMs: number;
}

const isNewer = (a: protocol.Member, b: protocol.Member): boolean =>
  a.start > b.start || (a.start === b.start && a.revision > b.revision);

/** The list that one instance was told last, and by whom. */
interface WatcherList {
  readonly watcherId: string;
  readonly version: string;
  readonly ids: ReadonlySet<string>;
}

/**
 * Time for which the list that a watcher tells is kept, in ms: it is asked for
 * by each of its followers several times a second.
 */
const LIST_REFRESH_MS = 100;

/** Version of a list where none was told. */
const NO_VERSION = 'none';

/** All instances as one of them sees them. */
export class MemberTable {
  private readonly rows = new Map<string, Row>();
  private readonly groups = new memberGroups.MemberGroups({
    silentMs: SILENT_MS,
    retentionMs: RETENTION_MS,
  });
  private readonly list: memberList.MemberList;
  private watcherList: WatcherList | undefined;
  /** When a watcher last told who lives. */
  private watcherListAtMs = -Infinity;
  /** When the list that this instance tells others was brought up to date. */
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

  /** Counts the beat of this instance's group up. */
  beat(): void {
    this.beatCount++;
  }

  /** Changes what this instance says of itself. */
  setPhase(phase: protocol.Member['phase']): void {
    this.updateSelf({phase});
  }

  /** Changes what this instance says of its way to the store. */
  setStore(store: protocol.Member['store']): void {
    if (store !== this.selfRow.store) {
      this.updateSelf({store});
    }
  }

  private updateSelf(changed: Partial<protocol.Member>): void {
    const revision = this.selfRow.revision + 1;
    this.selfRow = {...this.selfRow, ...changed, revision};
  }

  /**
   * Takes in rows that a peer passed on.
   *
   * While a watcher tells who lives, only a new start is news: peers pass on
   * rows of any age, and one that is a little newer than this instance's would
   * bring back an instance that is gone.
   */
  merge(members: readonly protocol.Member[], nowMs: number): void {
    const hasWatcherList = this.hasWatcherList(nowMs);
    for (const member of members) {
      const row = this.rows.get(member.id);
      const isNews = hasWatcherList
        ? row === undefined || member.start > row.member.start
        : row === undefined || isNewer(member, row.member);
      if (isNews) {
        this.set(member, nowMs);
      }
    }
  }

  /** Takes in the row of an instance that keeps a group itself: it lives. */
  recordKeeper(member: protocol.Member, nowMs: number): void {
    this.set(member, nowMs);
  }

  /** Takes in the row of an instance that calls: it is on the line. */
  recordCaller(member: protocol.Member, nowMs: number): void {
    this.set(member, nowMs);
    const row = this.rows.get(member.id);
    if (row && member.start >= row.member.start) {
      row.calledAtMs = nowMs;
    }
  }

  /** Takes in what a peer tells of groups. */
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

  /** How far groups have come; this instance's own is the first. */
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

  /** Members of the groups that a peer with these states lacks. */
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

  /** Whether a watcher tells this instance who lives. */
  hasWatcherList(nowMs: number): boolean {
    return nowMs - this.watcherListAtMs <= WATCHER_LIST_TTL_MS;
  }

  /** The list that this instance has from a watcher. */
  watcherListVersion(watcherId: string): string {
    return this.watcherList?.watcherId === watcherId
      ? this.watcherList.version
      : NO_VERSION;
  }

  /** Takes in a watcher's word on who lives; without a step: as before. */
  applyWatcherList(
    watcherId: string,
    version: string,
    delta: protocol.MemberListDelta | undefined,
    nowMs: number,
  ): void {
    if (delta) {
      const before =
        this.watcherList?.watcherId === watcherId
          ? this.watcherList.ids
          : new Set<string>();
      const ids = new Set(delta.isWhole ? [] : before);
      delta.gone.forEach(id => ids.delete(id));
      delta.changed.forEach(member => {
        ids.add(member.id);
        this.set(member, nowMs);
      });
      this.markSilent(
        [...(this.watcherList?.ids ?? [])].filter(id => !ids.has(id)),
        nowMs,
      );
      this.watcherList = {watcherId, version, ids};
    }
    if (this.watcherList?.version === version) {
      for (const id of this.watcherList.ids) {
        this.touch(id, nowMs);
      }
    }
    this.watcherListAtMs = nowMs;
  }

  /** Version of the list of live instances that this one tells others. */
  listVersion(nowMs: number): string {
    if (nowMs - this.listedAtMs >= LIST_REFRESH_MS) {
      this.listedAtMs = nowMs;
      this.list.update(this.live(nowMs));
    }
    return this.list.version;
  }

  /** What one that has `version` of that list lacks, if anything. */
  listDelta(version: string): protocol.MemberListDelta | undefined {
    return this.list.deltaSince(version);
  }

  /** Notes that an instance lives, with what it says of itself if that is news. */
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

  /** Instances that no group has any more are gone. */
  private drop(ids: readonly string[], nowMs: number): void {
    this.markSilent(
      ids.filter(id => {
        const row = this.rows.get(id);
        const isHere = row && isConnected(row, nowMs);
        return !isHere && !this.groups.hasMember(id, nowMs);
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

  /** Notes that an instance did not answer. */
  recordUnreachable(id: string, nowMs: number): void {
    const row = this.rows.get(id);
    if (row) {
      row.unreachableUntilMs = nowMs + UNREACHABLE_MS;
    }
  }

  /** Instances that live as far as is known, this one too. */
  live(nowMs: number): readonly protocol.Member[] {
    return [this.selfRow, ...this.others(nowMs, SILENT_MS)];
  }

  /** Other instances that live, leaving ones included. */
  peers(nowMs: number): readonly protocol.Member[] {
    return this.others(nowMs, SILENT_MS);
  }

  /** Other instances that were heard of once and now are silent. */
  silent(nowMs: number): readonly protocol.Member[] {
    return [...this.rows.values()]
      .filter(row => nowMs - row.heardAtMs > SILENT_MS)
      .map(row => row.member);
  }

  /** Instances that take callers now, this one included if it does. */
  serving(nowMs: number): readonly protocol.Member[] {
    return this.reachable(nowMs).filter(({phase}) => phase === 'serving');
  }

  /** Instances that stay, whether they take callers yet or not. */
  staying(nowMs: number): readonly protocol.Member[] {
    return this.reachable(nowMs).filter(({phase}) => phase !== 'leaving');
  }

  /** Instances among which shares are divided, silent ones included. */
  idsForShares(nowMs: number): readonly string[] {
    const others = this.others(nowMs, SHARE_RETENTION_MS).map(({id}) => id);
    return [this.selfRow.id, ...others];
  }

  /** Forgets what has been silent for long. */
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
