/**
 * Decides whether one instance watches the store, sends updates to others, or
 * gets its updates from a watcher.
 *
 * Load: hundreds of instances at one store. Harm prevented: instances that all
 * call the store, at their start or in an outage, and instances that rely on a
 * watcher which has lost the store.
 */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import type * as fleet from '@amaranthknot/fleet';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as gatewayState from './gateway-state.js';

/** Dependencies and settings of a `WatchRole`. */
export interface WatchRoleOptions {
  readonly now: () => number;
  readonly members: fleet.MemberTable;
  readonly views: gatewayState.ViewsByKind;
  readonly bounds: configuration.GatewaySettings['bounds'];
  /** Whether the settings name seeds, so that there may be other instances. */
  readonly hasSeeds: boolean;
}

/**
 * Time for which computed roles are cached, in milliseconds. They are read
 * forty times a second, and computing them goes through all instances.
 */
const ROLE_CACHE_MS = 200;

/**
 * Time after its start for which an instance is no watcher, in milliseconds. It
 * knows few others yet: of many instances that start together, each would take
 * the role and request every entry that upstreams write meanwhile. What it
 * listed at its start is recent enough for this time.
 */
const SETTLING_MS = 1_000;

/**
 * Time for which calls to the store must fail before an instance reports the
 * store as lost, in milliseconds: longer than one call without an answer.
 */
const STORE_LOST_AFTER_MS = 1_000;

/**
 * Time between two calls of an instance that has lost the store and is no
 * longer a watcher, in milliseconds: only a call shows that the store is
 * reachable again.
 */
const PROBE_INTERVAL_MS = 5_000;

/**
 * Upper bound of the time that changes of upstreams may take, in milliseconds,
 * whatever the settings allow. An instance then lists the upstreams before its
 * view has been unconfirmed for `fleet.MAX_ANSWER_GAP_MS`. A longer gap would
 * look like an outage, and entries of upstreams that left would be kept.
 */
const MAX_PROPAGATION_MS = 2_000;

/**
 * Time between two calls of an instance that gets updates from a watcher, while
 * the store does not answer the instance, in milliseconds.
 */
const RETRY_INTERVAL_MS = 3_000;

/** Roles of the instances as computed at `atMs`. */
interface Roles {
  readonly atMs: number;
  /** Instances that could be watchers then. */
  readonly eligible: readonly protocol.Member[];
  /** Instances that send updates to others. */
  readonly watchers: readonly protocol.Member[];
  /** Ids of the watchers that watch the store. */
  readonly storeWatchers: readonly string[];
  /** Watchers that this instance may get updates from, best first. */
  readonly sources: readonly protocol.Member[];
}

const isSameList = (
  a: readonly protocol.Member[],
  b: readonly protocol.Member[],
): boolean =>
  a.length === b.length && a.every((member, index) => member === b[index]);

/** The role of one instance. */
export class WatchRole {
  private roles: Roles | undefined;
  private readonly boundsByKind: ReadonlyMap<string, number>;
  private readonly startedAtMs: number;
  /** Since when calls to the store have failed; undefined while they succeed. */
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

  /** Time within which a change of a kind must be active everywhere, in ms. */
  boundMs(kind: string): number {
    const boundMs = this.boundsByKind.get(kind);
    if (boundMs === undefined) {
      throw new Error(`no time bound is defined for objects of kind ${kind}`);
    }
    return boundMs;
  }

  /** Age in ms above which a view of the kind counts as too old. */
  staleAfterMs(kind: string): number {
    return decisions.findStaleAfterMs(this.boundMs(kind));
  }

  /** How this instance syncs a view now. */
  getSyncMode(view: fleet.KindView): decisions.SyncMode {
    if (this.mustProbe(view)) {
      return 'ask';
    }
    const ageMs = this.options.now() - view.confirmedAtMs;
    const mode = decisions.findSyncMode(
      this.watchesStore(),
      ageMs,
      this.boundMs(view.kind),
    );
    return mode === 'ask' && this.defersToWatchers(view) ? 'none' : mode;
  }

  /**
   * Whether this instance leaves calls to the store to the watchers: a watcher
   * answers it, and the store does not.
   *
   * Guards against an outage in which hundreds of instances keep calling the
   * store for changes that the watchers, which retry all the time, would send
   * them at once. The upstreams alone are still requested at intervals: the
   * watchers may have lost the store while it answers again here, and one call
   * that failed long ago must not make an instance rely on them for good.
   */
  private defersToWatchers(view: fleet.KindView): boolean {
    const {members, views, now} = this.options;
    const isFailing = this.failingSinceMs !== undefined;
    const mayRetry =
      view === views.upstreams && now() - this.lastCallMs >= RETRY_INTERVAL_MS;
    return isFailing && !mayRetry && members.hasWatcherList(now());
  }

  /**
   * Records the outcome of a call to the store.
   *
   * Guards against watchers that can't reach the store: with three of four cut
   * off, their followers called the store themselves, fifty times a second. An
   * instance that reports the store as lost is not chosen as a watcher.
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
   * Watchers to get updates from, best first. An instance that watches the
   * store needs none while its views are fresh.
   */
  findSources(): readonly protocol.Member[] {
    const needsNone = this.watchesStore() && this.isFresh();
    return needsNone ? [] : this.findRoles().sources;
  }

  /** Instances that send changes and the state of the fleet to others. */
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
    // Instances that take no callers yet count too: before the first
    // configuration none does, and each would call the store itself.
    const staying = members.staying(atMs);
    const connected = staying.filter(({store}) => store === 'reached');
    // In an outage that affects all instances the roles stay as they are.
    const candidates = connected.length > 0 ? connected : staying;
    if (this.roles && isSameList(this.roles.eligible, candidates)) {
      return {...this.roles, atMs};
    }
    const watchers = decisions.findWatchers(candidates);
    const byId = new Map(candidates.map(member => [member.id, member]));
    const find = (id: string) => byId.get(id) ?? [];
    return {
      atMs,
      eligible: candidates,
      watchers: watchers.flatMap(find),
      storeWatchers: decisions.findStoreWatchers(watchers),
      sources: decisions.rankSources(members.self, candidates).flatMap(find),
    };
  }

  /** Whether this instance started too recently to know the fleet. */
  isSettling(): boolean {
    const {hasSeeds, now} = this.options;
    return hasSeeds && now() - this.startedAtMs < SETTLING_MS;
  }

  /** Whether this instance is one of the watchers that watch the store. */
  watchesStore(): boolean {
    const {id} = this.options.members.self;
    return this.isWatcher() && this.findRoles().storeWatchers.includes(id);
  }

  /** Whether this instance sends updates to others. */
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
