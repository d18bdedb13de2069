/**
 * The list of live instances as one instance tells it to others, in steps: a
 * start or a loss costs each of them one row, and not the whole list. Pure.
 */
import type * as protocol from '@amaranthknot/protocol';

interface Entry {
  readonly member: protocol.Member;
  /** Count of the change that brought it. */
  readonly since: number;
}

/** A list with its changes. */
export class MemberList {
  private changes = 0;
  private entries = new Map<string, Entry>();
  /** Instances that live no more, by the count of the change. */
  private readonly gone = new Map<string, number>();

  /** @param name names the teller and its start; versions begin with it. */
  constructor(private readonly name: string) {}

  /** Names the state of the list. */
  get version(): string {
    return `${this.name}#${this.changes}`;
  }

  /** Takes in who lives now. */
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

  /** What one that has `version` lacks; undefined where that is nothing. */
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
