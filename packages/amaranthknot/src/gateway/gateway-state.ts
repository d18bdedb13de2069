/**
 * What a gateway instance knows of the configuration, upstreams, rollouts and
 * evacuated zones, from its views of the store.
 *
 * Keeps upstreams whose entries expired during an outage of the store, so that
 * the outage does not remove upstreams that still work.
 */
import * as fleet from '@amaranthknot/fleet';
import type * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as routing from '@amaranthknot/routing';

/**
 * Age up to which an unconfirmed configuration may accept a key, as a fraction
 * of the time within which a revoked key must be refused everywhere. The rest
 * covers requests in transit and clock drift.
 */
export const KEY_AGE_FRACTION = 0.85;

/**
 * Age up to which an unconfirmed configuration may deny a route or key, as a
 * fraction of the time within which a new configuration must be active.
 */
export const DENIAL_AGE_FRACTION = 0.8;

/**
 * How long an upstream whose entry disappeared around an outage of the store
 * stays in use, in milliseconds. After an outage, the platform restores the
 * entries of live upstreams within about two seconds.
 */
export const LAPSE_GRACE_MS = 2_200;

/** Kinds of stored objects of which an instance keeps a view. */
export type FollowedKind = keyof typeof platform.STORE_KINDS;

/** The view of each followed kind. */
export type ViewsByKind = Readonly<Record<FollowedKind, fleet.KindView>>;

/** Dependencies of a `GatewayState`. */
export interface GatewayStateOptions {
  readonly now: () => number;
  readonly views: ViewsByKind;
  readonly catalog: gateway.UpstreamCatalog;
  readonly rollouts: gateway.RolloutTracker;
  readonly log: telemetry.DecisionLog;
  /** Called with each new active routing table. */
  readonly onTable: (table: routing.RoutingTable) => void;
}

/** State of one instance, derived from its views of the store. */
export class GatewayState {
  private table: routing.RoutingTable | undefined;
  /** Store version of the object that the table was decoded from. */
  private tableObjectVersion = -1;
  private zonesOut: ReadonlySet<string> = new Set();
  /** Digest of the upstreams that the catalog was last updated with. */
  private upstreamsDigest: string | undefined;
  /** Time as of which the upstreams were last known to be complete. */
  private upstreamsAsOfMs: number | undefined;
  /** Latest gap between confirmations in which entries may have expired. */
  private confirmationGap: fleet.TimeSpan | undefined;
  private storeLostAtMs = -Infinity;
  private isStoreReachable = true;
  private resolveSynced: () => void = () => undefined;
  private readonly synced: Promise<void>;

  constructor(private readonly options: GatewayStateOptions) {
    this.synced = new Promise(resolve => {
      this.resolveSynced = resolve;
    });
  }

  /** The active configuration and its age; undefined before the first one. */
  activeTable(): gateway.ActiveTable | undefined {
    const {views, now} = this.options;
    return (
      this.table && {
        table: this.table,
        ageMs: now() - views.configuration.confirmedAtMs,
      }
    );
  }

  /**
   * Time since the upstreams were last known to be complete, in milliseconds;
   * undefined if they never were.
   */
  upstreamsAgeMs(): number | undefined {
    const {confirmedAtMs} = this.options.views.upstreams;
    return Number.isFinite(confirmedAtMs)
      ? this.options.now() - confirmedAtMs
      : undefined;
  }

  /** Whether operators have evacuated the zone. */
  isZoneOut(zone: string): boolean {
    return this.zonesOut.has(zone);
  }

  /** Records the outcome of a call to the store, and logs a change of it. */
  recordStoreCall(error: ports.StoreError | undefined): void {
    const {now, log} = this.options;
    if (!error || error.code === 'history_gone') {
      if (!this.isStoreReachable) {
        const awayMs = Math.round(now() - this.storeLostAtMs);
        log.info('store_regained', {awayMs});
        this.isStoreReachable = true;
      }
      return;
    }
    if (this.isStoreReachable) {
      this.isStoreReachable = false;
      this.storeLostAtMs = now();
      log.warn('store_lost', {code: error.code, reason: error.message});
    }
  }

  /** Whether a configuration and all views are known, as serving requires. */
  isSynced(): boolean {
    const views = Object.values(this.options.views);
    return (
      this.table !== undefined &&
      views.every(({version}) => version !== undefined)
    );
  }

  /** Resolves once `isSynced` is true. */
  whenSynced(): Promise<void> {
    return this.synced;
  }

  /** Drops upstreams whose grace time is over. */
  expire(): void {
    this.options.catalog.expire(this.options.now(), this.isStoreStable());
  }

  /** Applies a view that has changed or was confirmed. */
  applyView(view: fleet.KindView): void {
    this.dispatchView(view);
    if (this.isSynced()) {
      this.resolveSynced();
    }
  }

  private dispatchView(view: fleet.KindView): void {
    const {views} = this.options;
    switch (view) {
      case views.configuration:
        this.applyConfiguration(view);
        return;
      case views.upstreams:
        this.applyUpstreams(view);
        return;
      case views.rollouts:
        this.applyRollouts(view);
        return;
      case views.evacuations:
        this.applyEvacuations(new Set(view.objects.keys()));
        return;
    }
  }

  /**
   * Whether a missing entry means that its upstream is gone, since the store
   * has answered this instance or another one without a gap.
   *
   * Failed calls and missing updates here do not count as an outage. Otherwise
   * an instance that is isolated alone, and its followers, would keep upstreams
   * that left for the grace time on top of the propagation time.
   */
  private isStoreStable(): boolean {
    const {confirmationGap} = this;
    const {now, views} = this.options;
    return (
      confirmationGap === undefined ||
      now() - confirmationGap.toMs > LAPSE_GRACE_MS ||
      views.upstreams.answeredFromMs <=
        confirmationGap.fromMs + fleet.MAX_ANSWER_GAP_MS
    );
  }

  private recordConfirmation({confirmedAtMs}: fleet.KindView): void {
    const fromMs = this.upstreamsAsOfMs ?? confirmedAtMs;
    this.upstreamsAsOfMs = confirmedAtMs;
    if (confirmedAtMs - fromMs <= fleet.MAX_ANSWER_GAP_MS) {
      return;
    }
    this.confirmationGap = {fromMs, toMs: this.options.now()};
    if (!this.isStoreStable()) {
      this.options.log.info('lapse_suspected', {
        silentMs: Math.round(confirmedAtMs - fromMs),
        keptForMs: LAPSE_GRACE_MS,
      });
    }
  }

  private applyEvacuations(zones: ReadonlySet<string>): void {
    const before = [...this.zonesOut].sort().join();
    const after = [...zones].sort();
    this.zonesOut = zones;
    if (after.join() !== before) {
      this.options.log.info('zones_out', {zones: after});
    }
  }

  /**
   * Skips the update if the digest is unchanged: most confirmations bring no
   * change, and there may be thousands of upstreams.
   */
  private applyUpstreams(view: fleet.KindView): void {
    const {catalog, now} = this.options;
    this.recordConfirmation(view);
    if (view.digest === this.upstreamsDigest) {
      this.expire();
      return;
    }
    this.upstreamsDigest = view.digest;
    catalog.update(view.objects, now(), this.isStoreStable());
  }

  /**
   * Ignores objects that are not newer than the active one: a peer or a late
   * answer may bring one that is older than what this instance has acted on.
   */
  private applyConfiguration(view: fleet.KindView): void {
    const object = view.objects.get(platform.CONFIGURATION_NAME);
    if (!object || object.version <= this.tableObjectVersion) {
      return;
    }
    const {log, onTable} = this.options;
    this.tableObjectVersion = object.version;
    platform.decodeManifest(object.value).caseOf({
      Left: reason => {
        log.warn('configuration_refused', {reason});
      },
      Right: table => {
        this.table = table;
        log.info('configuration_in_force', {
          configuration: table.version,
          routes: table.routes.length,
        });
        onTable(table);
      },
    });
  }

  private applyRollouts(view: fleet.KindView): void {
    this.options.rollouts.applyRollouts(
      [...view.objects.values()].flatMap(
        object => platform.decodeRollout(object) ?? [],
      ),
    );
  }
}
