/**
 * The list of live instances that one instance sends to others, with deltas: a
 * start or a loss costs each receiver one row instead of the whole list. Pure.
 */
import type * as protocol from '@amaranthknot/protocol';

interface Entry {
  readonly member: protocol.Member;
  /** Number of the change that added or replaced it. */
  readonly since: number;
}

/** The list of live instances with its numbered changes. */
export class MemberList {
  private changes = 0;
  private entries = new Map<string, Entry>();
  /** Ids of instances that are gone, with the number of the change. */
  private readonly gone = new Map<string, number>();

  /**
   * @param name identifies the sender and its start; versions begin with it.
   */
  constructor(private readonly name: string) {}

  /** Identifies the present state of the list. */
  get version(): string {
    return `${this.name}#${this.changes}`;
  }

  /** Sets the instances that live now. */
  update(members: readonly protocol.Member[]): void {
    const next = this.changes + 1;
    const entries = new Map<string, Entry>();
    let hasChanged = false;
    for (const member of members) {
      const known = this.entries.get(member.id);
      const isSame = known?.member === member;
      hasChanged ||= !isSame;
      entries.set(member.id, isSame ? known : {member, since: next});
      this.gone.delete(member.id);
    }
    for (const id of this.entries.keys()) {
      if (!entries.has(id)) {
        hasChanged = true;
        this.gone.set(id, next);
      }
    }
    this.entries = entries;
    if (hasChanged) {
      this.changes = next;
    }
  }

  /**
   * Returns what a receiver that has `version` lacks; undefined if nothing.
   * Receivers with a version of another sender or start get the whole list.
   */
  deltaSince(version: string): protocol.MemberListDelta | undefined {
    if (version === this.version) {
      return undefined;
    }
    const [name, count] = version.split('#');
    const known = name === this.name ? Number(count) : 0;
    const isWhole = known === 0;
    return {
      isWhole,
      changed: [...this.entries.values()]
        .filter(({since}) => since > known)
        .map(({member}) => member),
      gone: isWhole
        ? []
        : [...this.gone].filter(([, at]) => at > known).map(([id]) => id),
    };
  }
}
