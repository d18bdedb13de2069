/**
 * Which instances are on the line with which other one. Watchers tell each
 * other of their groups: who lives is told by one count a group, however many
 * instances there are, and members are passed on only when they change. Pure:
 * time is an argument.
 */
import type * as protocol from '@amaranthknot/protocol';

/** What came of news on groups. */
export interface GroupUpdate {
  /** Members of groups whose beat has risen, or that have changed. */
  readonly alive: readonly protocol.Member[];
  /** Instances that a group no longer has. */
  readonly dropped: readonly string[];
}

interface Group {
  start: number;
  beat: number;
  /** When its beat last rose here. */
  heardAtMs: number;
  /** 0 while the members are not known. */
  revision: number;
  members: readonly protocol.Member[];
}

/** Settings of the groups. */
export interface MemberGroupsOptions {
  /** Time without a new beat after which a group counts as gone, in ms. */
  readonly silentMs: number;
  /** Time after which a group that is gone is forgotten, in ms. */
  readonly retentionMs: number;
}

/** Groups of other instances. */
export class MemberGroups {
  private readonly groups = new Map<string, Group>();

  constructor(private readonly options: MemberGroupsOptions) {}

  /** How far the groups have come that are kept up. */
  states(nowMs: number): readonly protocol.GroupState[] {
    return this.live(nowMs).map(([keeper, {start, beat, revision}]) => ({
      keeper,
      start,
      beat,
      revision,
    }));
  }

  /** Members of the groups that a peer with these states lacks. */
  membersNewerThan(
    states: readonly protocol.GroupState[],
    nowMs: number,
  ): readonly protocol.GroupMembers[] {
    const known = new Map(states.map(state => [state.keeper, state]));
    return this.live(nowMs).flatMap(([keeper, group]) => {
      const {start, revision, members} = group;
      const isNews = revision > 0 && isLater(group, known.get(keeper));
      return isNews ? [{keeper, start, revision, members: [...members]}] : [];
    });
  }

  /** Whether a group that is kept up has the instance. */
  hasMember(id: string, nowMs: number): boolean {
    return this.live(nowMs).some(([, {members}]) =>
      members.some(member => member.id === id),
    );
  }

  /** Takes in what a peer tells of groups. */
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

  /** Forgets groups that have been gone for long. */
  expire(nowMs: number): void {
    for (const [keeper, {heardAtMs}] of this.groups) {
      if (nowMs - heardAtMs > this.options.retentionMs) {
        this.groups.delete(keeper);
      }
    }
  }

  /**
   * Notes a beat; the group, if it is a new one. A group that is gone stays
   * known by its last beat: peers that have it still would bring it back.
   */
  private mergeState(
    {keeper, start, beat}: protocol.GroupState,
    nowMs: number,
  ): Group | undefined {
    const group = this.groups.get(keeper);
    const isNews =
      !group ||
      start > group.start ||
      (start === group.start && beat > group.beat);
    if (!isNews) {
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

/** Whether one state of a group's members is later than another. */
const isLater = (
  a: {readonly start: number; readonly revision: number},
  b: {readonly start: number; readonly revision: number} | undefined,
): boolean =>
  !b || a.start > b.start || (a.start === b.start && a.revision > b.revision);

/** Instances that were members and are no more. */
export const findDropped = (
  before: readonly protocol.Member[],
  after: readonly protocol.Member[],
): readonly string[] => {
  const ids = new Set(after.map(({id}) => id));
  return before.map(({id}) => id).filter(id => !ids.has(id));
};
