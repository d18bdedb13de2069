/**
 * Which gateway instances there are and live, as one of them sees it. Each
 * counts its own beat up and passes on the beats it has heard of; a beat that
 * stands still is that of an instance which is gone. Pure: time is an
 * argument.
 */
import type * as protocol from '@amaranthknot/protocol';
import * as murmurhash from 'murmurhash';

/**
 * Time without a new beat after which an instance counts as gone, in ms. News
 * reaches seven instances in about three rounds of exchanges, a second; callers
 * must not be sent to a dead instance for longer than the time that a machine
 * needs to count as calm again, three seconds at the least.
 */
export const SILENT_MS = 2_500;

/**
 * Time for which a silent instance still counts where shares are worked out,
 * in ms. It may be cut off and still send: forgotten at once, the others would
 * take over its share while it uses it.
 */
const COUNTED_MS = 30_000;

/** Time after which a silent instance is forgotten, in ms. */
const FORGOTTEN_MS = 120_000;

/**
 * Time for which a watcher's word on who lives counts, in ms: it comes with
 * each answer, several times a second.
 */
const TOLD_MS = 1_200;

/**
 * Time for which an instance that did not answer counts as unreachable, unless
 * a beat of it is heard, in ms: by then others have heard whether it is gone.
 */
const UNREACHABLE_MS = 3_000;

interface Row {
  member: protocol.Member;
  /** When its beat last rose here. */
  heardAtMs: number;
  /** Until then it counts as unreachable: it did not answer. */
  unreachableUntilMs: number;
}

const isNewer = (a: protocol.Member, b: protocol.Member): boolean =>
  a.start > b.start || (a.start === b.start && a.beat > b.beat);

/** A list of the instances that live, and what names this state of it. */
export interface MemberList {
  readonly version: string;
  readonly members: readonly protocol.Member[];
}

/** The list that one instance was told last, and by whom. */
interface ToldList {
  readonly by: string;
  readonly version: string;
  readonly ids: ReadonlySet<string>;
}

/** Version of a list where none was told. */
const NO_VERSION = 'none';

/** All instances as one of them sees them. */
export class MemberTable {
  private readonly rows = new Map<string, Row>();
  private told: ToldList | undefined;
  /** When a watcher last told who lives. */
  private toldAtMs = -Infinity;

  constructor(private selfRow: protocol.Member) {}

  /** This instance. */
  get self(): protocol.Member {
    return this.selfRow;
  }

  /** Counts this instance's beat up. */
  beat(): void {
    this.selfRow = {...this.selfRow, beat: this.selfRow.beat + 1};
  }

  /** Changes what this instance says of itself. */
  setPhase(phase: protocol.Member['phase']): void {
    this.selfRow = {...this.selfRow, phase, beat: this.selfRow.beat + 1};
  }

  /** Changes what this instance says of its way to the store. */
  setStore(store: protocol.Member['store']): void {
    if (store !== this.selfRow.store) {
      this.selfRow = {...this.selfRow, store, beat: this.selfRow.beat + 1};
    }
  }

  /**
   * Takes in rows that a peer passed on.
   *
   * While a watcher tells who lives, beats tell nothing: peers that are told
   * as well pass on beats of any age, and one that is a little newer than this
   * instance's would bring back an instance that is gone.
   */
  merge(members: readonly protocol.Member[], nowMs: number): void {
    const isTold = this.isTold(nowMs);
    for (const member of members) {
      const row = this.rows.get(member.id);
      const isNews = isTold
        ? row === undefined || member.start > row.member.start
        : row === undefined || isNewer(member, row.member);
      if (isNews) {
        this.set(member, nowMs);
      }
    }
  }

  /** Takes in the row of an instance that is on the line itself. */
  mergeCaller(member: protocol.Member, nowMs: number): void {
    const row = this.rows.get(member.id);
    if (!row || isNewer(member, row.member)) {
      this.set(member, nowMs);
    }
  }

  /** Whether a watcher tells this instance who lives. */
  isTold(nowMs: number): boolean {
    return nowMs - this.toldAtMs <= TOLD_MS;
  }

  /** The list that this instance has from a watcher. */
  toldVersion(by: string): string {
    return this.told?.by === by ? this.told.version : NO_VERSION;
  }

  /** Takes in a watcher's word on who lives; without members: as before. */
  takeTold(
    by: string,
    version: string,
    members: readonly protocol.Member[] | undefined,
    nowMs: number,
  ): void {
    if (members) {
      const ids = new Set(members.map(({id}) => id));
      this.dropUntold(ids, nowMs);
      this.told = {by, version, ids};
      members.forEach(member => {
        const row = this.rows.get(member.id);
        const isOlder = row && isNewer(row.member, member);
        this.set(isOlder ? row.member : member, nowMs);
      });
    } else if (this.told?.version === version) {
      for (const id of this.told.ids) {
        this.touch(id, nowMs);
      }
    }
    this.toldAtMs = nowMs;
  }

  /** The instances that live, for one that is told by this one. */
  list(nowMs: number): MemberList {
    const members = this.report(nowMs);
    const names = members
      .map(({id, start, phase, store}) => `${id}.${start}.${phase}.${store}`)
      .sort();
    const {id, start} = this.selfRow;
    const digest = murmurhash.default.v3(names.join()).toString(36);
    return {version: `${id}.${start}.${digest}`, members};
  }

  private set(member: protocol.Member, nowMs: number): void {
    if (member.id === this.selfRow.id) {
      return;
    }
    const known = this.rows.get(member.id);
    const isSame = known?.member.start === member.start;
    this.rows.set(member.id, {
      member,
      heardAtMs: nowMs,
      unreachableUntilMs:
        isSame && this.isTold(nowMs) ? known.unreachableUntilMs : -Infinity,
    });
  }

  private touch(id: string, nowMs: number): void {
    const row = this.rows.get(id);
    if (row) {
      row.heardAtMs = nowMs;
    }
  }

  /** Instances that the watcher no longer names are gone. */
  private dropUntold(ids: ReadonlySet<string>, nowMs: number): void {
    for (const [id, row] of this.rows) {
      const wasTold = this.told?.ids.has(id) ?? false;
      if (wasTold && !ids.has(id)) {
        row.heardAtMs = Math.min(row.heardAtMs, nowMs - SILENT_MS - 1);
      }
    }
  }

  /** Notes that an instance did not answer. */
  noteUnreachable(id: string, nowMs: number): void {
    const row = this.rows.get(id);
    if (row) {
      row.unreachableUntilMs = nowMs + UNREACHABLE_MS;
    }
  }

  /** Rows to pass on: instances that live as far as is known, this one too. */
  report(nowMs: number): readonly protocol.Member[] {
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
    const reachable = [...this.rows.values()]
      .filter(
        ({heardAtMs, unreachableUntilMs}) =>
          nowMs - heardAtMs <= SILENT_MS && nowMs >= unreachableUntilMs,
      )
      .map(row => row.member);
    return [this.selfRow, ...reachable].filter(
      ({phase}) => phase === 'serving',
    );
  }

  /** Instances among which shares are divided, silent ones included. */
  namesForShares(nowMs: number): readonly string[] {
    const others = this.others(nowMs, COUNTED_MS).map(({id}) => id);
    return [this.selfRow.id, ...others];
  }

  /** Forgets what has been silent for long. */
  tick(nowMs: number): void {
    for (const [id, row] of this.rows) {
      if (nowMs - row.heardAtMs > FORGOTTEN_MS) {
        this.rows.delete(id);
      }
    }
  }

  private others(nowMs: number, withinMs: number): readonly protocol.Member[] {
    return [...this.rows.values()]
      .filter(row => nowMs - row.heardAtMs <= withinMs)
      .map(row => row.member);
  }
}
