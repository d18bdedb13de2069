/** Which part one instance has in watching the store and telling others. */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import type * as fleet from '@amaranthknot/fleet';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as gatewayState from './gateway-state.js';

/** Parts that the choice works with. */
export interface WatchRoleOptions {
  readonly now: () => number;
  readonly members: fleet.MemberTable;
  readonly views: gatewayState.ViewsByKind;
  readonly bounds: configuration.GatewaySettings['bounds'];
  /** Whether the settings name other instances to find. */
  readonly hasSeeds: boolean;
}

/**
 * Time for which the roles of instances are kept, in milliseconds. They are
 * looked at forty times a second, and each time all instances would be looked
 * through.
 */
const ROLE_CACHE_MS = 200;

/**
 * Time after its start in which an instance watches nothing, in milliseconds.
 * It knows few others yet: of many that start together each takes itself for a
 * watcher, and asks the store for every entry that upstreams write meanwhile.
 * What it listed at its start is young enough.
 */
const SETTLING_MS = 1_000;

/**
 * Time for which calls to the store fail before an instance says that it has
 * lost it, in milliseconds: longer than one call that is not answered.
 */
const STORE_LOST_AFTER_MS = 1_000;

/**
 * Time between two calls of an instance that has lost the store and watches
 * nothing, in milliseconds: only a call shows that the way is open again.
 */
const PROBE_INTERVAL_MS = 5_000;

/**
 * Longest time that news of upstreams may take, in milliseconds, whatever the
 * deployment allows: an instance then asks the store before its own silence
 * is as long as `fleet.LONGEST_SILENCE_MS`, from which on it looks like an
 * outage, and entries of upstreams that left are kept.
 */
const MAX_PROPAGATION_MS = 2_000;

/**
 * Time between two calls of an instance that is told by a watcher, while the
 * store does not answer it, in milliseconds.
 */
const RETRY_INTERVAL_MS = 3_000;

/** Roles as worked out last. */
interface Roles {
  readonly atMs: number;
  /** Instances that could watch then. */
  readonly eligible: readonly protocol.Member[];
  /** Instances that tell others. */
  readonly watchers: readonly protocol.Member[];
  /** Of these, by id, those that watch the store. */
  readonly storeWatchers: readonly string[];
  /** Watchers that this instance may be told by, best first. */
  readonly sources: readonly protocol.Member[];
}

const isSameList = (
  a: readonly protocol.Member[],
  b: readonly protocol.Member[],
): boolean =>
  a.length === b.length && a.every((member, index) => member === b[index]);

/** One instance's part. */
export class WatchRole {
  private roles: Roles | undefined;
  private readonly boundsByKind: ReadonlyMap<string, number>;
  private readonly startedAtMs: number;
  /** Since when calls to the store fail; undefined while they do not. */
  private failingSinceMs: number | undefined;
  private lastCallMs = -Infinity;

  constructor(private readonly options: WatchRoleOptions) {
    const {views, bounds} = options;
    this.startedAtMs = options.now();
    const {configurationMs, leavingMs, evacuationMs} = bounds.change;
    this.boundsByKind = new Map([
      [views.configuration.kind, configurationMs],
      [views.upstreams.kind, Math.min(leavingMs, MAX_PROPAGATION_MS)],
      [views.evacuations.kind, evacuationMs],
      [views.rollouts.kind, bounds.exposure.rollbackMs],
    ]);
  }

  /** Time within which a change of a kind must be in force, in ms. */
  boundMs(kind: string): number {
    const boundMs = this.boundsByKind.get(kind);
    if (boundMs === undefined) {
      throw new Error(`no bound is known for objects of kind ${kind}`);
    }
    return boundMs;
  }

  /** Age, in ms, from which a view is too old to rely on its watcher. */
  staleAfterMs(kind: string): number {
    return decisions.findStaleAfterMs(this.boundMs(kind));
  }

  /** What this instance does about a kind now. */
  getSyncMode(view: fleet.KindView): decisions.SyncMode {
    if (this.mustProbe(view)) {
      return 'ask';
    }
    const ageMs = this.options.now() - view.confirmedAtMs;
    const need = decisions.findSyncMode(
      this.watchesStore(),
      ageMs,
      this.boundMs(view.kind),
    );
    return need === 'ask' && this.defersToWatchers(view) ? 'none' : need;
  }

  /**
   * Whether asking the store is left to the watchers: one of them answers this
   * instance, and the store has not.
   *
   * Guards against an outage in which hundreds ask again and again for what
   * the watchers, who try all the time, would tell them at once. Only the
   * upstreams are asked for now and then: the watchers may have lost the store
   * while it answers again here, and one call that failed long ago must not
   * keep an instance with them.
   */
  private defersToWatchers(view: fleet.KindView): boolean {
    const {members, views, now} = this.options;
    const isFailing = this.failingSinceMs !== undefined;
    const mayRetry =
      view === views.upstreams && now() - this.lastCallMs >= RETRY_INTERVAL_MS;
    return isFailing && !mayRetry && members.hasWatcherList(now());
  }

  /**
   * Notes the outcome of a call to the store.
   *
   * Guards against watchers that can't watch: with three of four cut off from
   * the store, instances that they told asked the store one by one, fifty
   * calls a second. One that says it has lost the store is passed over.
   */
  recordStoreCall(error: ports.StoreError | undefined): void {
    const {now, members} = this.options;
    this.lastCallMs = now();
    if (!error || error.code === 'history_gone') {
      this.failingSinceMs = undefined;
      members.setStore('reached');
      return;
    }
    this.failingSinceMs ??= now();
    if (now() - this.failingSinceMs >= STORE_LOST_AFTER_MS) {
      members.setStore('lost');
    }
  }

  private mustProbe(view: fleet.KindView): boolean {
    const {members, views, now} = this.options;
    return (
      members.self.store === 'lost' &&
      view === views.configuration &&
      now() - this.lastCallMs >= PROBE_INTERVAL_MS
    );
  }

  /**
   * Instances to be told of changes by. One that watches the store needs none,
   * unless it has lost the store.
   */
  findSources(): readonly protocol.Member[] {
    const needsNone = this.watchesStore() && this.isFresh();
    return needsNone ? [] : this.findRoles().sources;
  }

  /** Instances that tell others of changes and of the fleet. */
  findWatchers(): readonly protocol.Member[] {
    return this.findRoles().watchers;
  }

  private findRoles(): Roles {
    const now = this.options.now();
    if (!this.roles || now - this.roles.atMs >= ROLE_CACHE_MS) {
      this.roles = this.computeRoles(now);
    }
    return this.roles;
  }

  private computeRoles(atMs: number): Roles {
    const {members} = this.options;
    // Also those that take no callers yet: before the first configuration no
    // instance does, and each would ask the store for itself.
    const staying = members.staying(atMs);
    const reaching = staying.filter(({store}) => store === 'reached');
    // In an outage for all the roles stay as they are.
    const able = reaching.length > 0 ? reaching : staying;
    if (this.roles && isSameList(this.roles.eligible, able)) {
      return {...this.roles, atMs};
    }
    const watchers = decisions.findWatchers(able);
    const byId = new Map(able.map(member => [member.id, member]));
    const find = (id: string) => byId.get(id) ?? [];
    return {
      atMs,
      eligible: able,
      watchers: watchers.flatMap(find),
      storeWatchers: decisions.findStoreWatchers(watchers),
      sources: decisions.rankSources(members.self, able).flatMap(find),
    };
  }

  /** Whether it has started too lately to know the fleet. */
  isSettling(): boolean {
    const {hasSeeds, now} = this.options;
    return hasSeeds && now() - this.startedAtMs < SETTLING_MS;
  }

  /** Whether this instance watches the store itself. */
  watchesStore(): boolean {
    const {id} = this.options.members.self;
    return this.isWatcher() && this.findRoles().storeWatchers.includes(id);
  }

  /** Whether this instance tells others. */
  isWatcher(): boolean {
    const {id} = this.options.members.self;
    return (
      !this.isSettling() &&
      this.findWatchers().some(watcher => watcher.id === id)
    );
  }

  private isFresh(): boolean {
    const {views, now} = this.options;
    return Object.values(views).every(
      ({kind, confirmedAtMs}) =>
        now() - confirmedAtMs <= this.staleAfterMs(kind),
    );
  }
}
