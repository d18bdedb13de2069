/**
 * The list of live instances that an instance last received from a watcher.
 * Pure: time is an argument.
 */
import type * as protocol from '@amaranthknot/protocol';

/** Version that stands for no list. */
const NO_VERSION = 'none';

interface WatcherList {
  readonly watcherId: string;
  readonly version: string;
  readonly ids: ReadonlySet<string>;
}

/** What an answer of a watcher says of the instances. */
export interface ListUpdate {
  /** Instances that are new in the list or have changed. */
  readonly changed: readonly protocol.Member[];
  /** Ids of the instances that the list before had and this one lacks. */
  readonly lost: readonly string[];
  /** Ids of the instances that the answer confirms to live. */
  readonly live: ReadonlySet<string>;
}

const NO_IDS: ReadonlySet<string> = new Set();

/** Keeps the list up to date by the watchers' answers. */
export class ReceivedList {
  private list: WatcherList | undefined;
  private receivedAtMs = -Infinity;

  /** @param ttlMs time for which a list is valid, in milliseconds. */
  constructor(private readonly ttlMs: number) {}

  /** Whether a watcher has sent or confirmed the list recently. */
  isValid(nowMs: number): boolean {
    return nowMs - this.receivedAtMs <= this.ttlMs;
  }

  /** Version of the list that this instance has from the watcher. */
  versionFrom(watcherId: string): string {
    return this.list?.watcherId === watcherId ? this.list.version : NO_VERSION;
  }

  /** Applies a watcher's answer; without a delta its list is unchanged. */
  apply(
    watcherId: string,
    version: string,
    delta: protocol.MemberListDelta | undefined,
    nowMs: number,
  ): ListUpdate {
    this.receivedAtMs = nowMs;
    const before = this.list;
    if (delta) {
      const ids = this.applyDelta(watcherId, delta);
      this.list = {watcherId, version, ids};
    }
    const isConfirmed = this.list?.version === version;
    const ids = this.list?.ids ?? NO_IDS;
    return {
      changed: delta?.changed ?? [],
      lost: [...(before?.ids ?? [])].filter(id => !ids.has(id)),
      live: isConfirmed ? ids : NO_IDS,
    };
  }

  private applyDelta(
    watcherId: string,
    {isWhole, gone, changed}: protocol.MemberListDelta,
  ): ReadonlySet<string> {
    const {list} = this;
    const isBase = list?.watcherId === watcherId && !isWhole;
    const ids = new Set(isBase ? list.ids : NO_IDS);
    gone.forEach(id => ids.delete(id));
    changed.forEach(({id}) => ids.add(id));
    return ids;
  }
}
