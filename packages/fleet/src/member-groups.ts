/**
 * Which instances are connected to which other instance. Watchers send each
 * other the state of their groups: one counter a group shows that its members
 * live, however many there are, and the members are sent only when they change.
 * Pure: time is an argument.
 */
import type * as protocol from '@amaranthknot/protocol';

/** Effect of merged group states and members. */
export interface GroupUpdate {
  /** Members of groups whose beat rose or whose members changed. */
  readonly alive: readonly protocol.Member[];
  /** Ids of instances that a group no longer has. */
  readonly dropped: readonly string[];
}

interface Group {
  start: number;
  beat: number;
  /** When its beat was last seen to rise. */
  heardAtMs: number;
  /** 0 while the members are not known. */
  revision: number;
  members: readonly protocol.Member[];
}

/** Time limits of the groups. */
export interface MemberGroupsOptions {
  /** Time without a new beat after which a group counts as gone, in ms. */
  readonly silentMs: number;
  /** Time after which a group that is gone is forgotten, in ms. */
  readonly retentionMs: number;
}

/** Groups kept by other instances. */
export class MemberGroups {
  private readonly groups = new Map<string, Group>();

  constructor(private readonly options: MemberGroupsOptions) {}

  /** States of the groups whose beat still rises. */
  states(nowMs: number): readonly protocol.GroupState[] {
    return this.live(nowMs).map(([keeper, {start, beat, revision}]) => ({
      keeper,
      start,
      beat,
      revision,
    }));
  }

  /** Members of the live groups that a peer with these states lacks. */
  membersNewerThan(
    states: readonly protocol.GroupState[],
    nowMs: number,
  ): readonly protocol.GroupMembers[] {
    const known = new Map(states.map(state => [state.keeper, state]));
    return this.live(nowMs).flatMap(([keeper, group]) => {
      const {start, revision, members} = group;
      const isMissing = revision > 0 && isLater(group, known.get(keeper));
      return isMissing
        ? [{keeper, start, revision, members: [...members]}]
        : [];
    });
  }

  /** Whether a live group has the instance. */
  hasMember(id: string, nowMs: number): boolean {
    return this.live(nowMs).some(([, {members}]) =>
      members.some(member => member.id === id),
    );
  }

  /** Merges a peer's group states and members. */
  merge(
    states: readonly protocol.GroupState[],
    updates: readonly protocol.GroupMembers[],
    nowMs: number,
  ): GroupUpdate {
    const risen = new Set<Group>();
    const dropped: string[] = [];
    for (const state of states) {
      const group = this.mergeState(state, nowMs);
      if (group) {
        risen.add(group);
      }
    }
    for (const content of updates) {
      const group = this.groups.get(content.keeper);
      if (group && isLater(content, group)) {
        dropped.push(...findDropped(group.members, content.members));
        Object.assign(group, {
          revision: content.revision,
          members: content.members,
        });
        risen.add(group);
      }
    }
    return {alive: [...risen].flatMap(({members}) => members), dropped};
  }

  /** Removes groups that have been gone for longer than `retentionMs`. */
  expire(nowMs: number): void {
    for (const [keeper, {heardAtMs}] of this.groups) {
      if (nowMs - heardAtMs > this.options.retentionMs) {
        this.groups.delete(keeper);
      }
    }
  }

  /**
   * Records a group's state; returns the group if its beat rose, else
   * undefined. The last beat of a group that is gone is kept: peers that still
   * have the group would otherwise bring it back.
   */
  private mergeState(
    {keeper, start, beat}: protocol.GroupState,
    nowMs: number,
  ): Group | undefined {
    const group = this.groups.get(keeper);
    const isNewer =
      !group ||
      start > group.start ||
      (start === group.start && beat > group.beat);
    if (!isNewer) {
      return undefined;
    }
    const isSameStart = group?.start === start;
    const next: Group = {
      start,
      beat,
      heardAtMs: nowMs,
      revision: isSameStart ? group.revision : 0,
      members: isSameStart ? group.members : [],
    };
    this.groups.set(keeper, next);
    return next;
  }

  private live(nowMs: number): readonly (readonly [string, Group])[] {
    return [...this.groups].filter(
      ([, {heardAtMs}]) => nowMs - heardAtMs <= this.options.silentMs,
    );
  }
}

/** Whether state `a` of a group's members is later than `b`. */
const isLater = (
  a: {readonly start: number; readonly revision: number},
  b: {readonly start: number; readonly revision: number} | undefined,
): boolean =>
  !b || a.start > b.start || (a.start === b.start && a.revision > b.revision);

/** Ids of `before` that are not in `after`. */
export const findDropped = (
  before: readonly protocol.Member[],
  after: readonly protocol.Member[],
): readonly string[] => {
  const ids = new Set(after.map(({id}) => id));
  return before.map(({id}) => id).filter(id => !ids.has(id));
};
