/** Evidence on the two versions of one rollout, by route and instance. */
import * as decisions from '@amaranthknot/decisions';
import type * as protocol from '@amaranthknot/protocol';

/** Counts of one instance on one route, as instances exchange them. */
export type EvidenceRow = Omit<protocol.OrderEvidence, 'order'>;

/** Counts summed over all instances on one route. */
export type EvidenceSumRow = Omit<protocol.EvidenceSum, 'order'>;

/** Counts to add to those of a version. */
export type CountIncrement = Partial<decisions.VersionCounts>;

/**
 * Maximum number of routes that are counted separately for one rollout; bounds
 * the size of messages between instances. Further routes are counted together.
 */
const MAX_ROUTES = 8;

/** Route name under which further routes are counted. */
const OTHER_ROUTES = '*';

/** How long a watcher's sums are used, in ms: a few of its answers. */
const REPORTED_SUMS_TTL_MS = 1_500;

/** Instance name under which sums over all instances are stored. */
const ALL_INSTANCES = 'all';

interface ReportedSums {
  readonly atMs: number;
  readonly byRoute: decisions.EvidenceByRoute;
}

/** The evidence on one rollout that one instance knows. */
export class EvidenceTable {
  /** Counts by route and instance: this instance's and those of peers. */
  private readonly byRoute = new Map<string, decisions.EvidenceByInstance>();
  private reportedSums: ReportedSums | undefined;

  /** @param incarnation identifies this start of this instance. */
  constructor(private readonly incarnation: string) {}

  /** Adds an observation of this instance. */
  count(
    route: string,
    version: decisions.RolloutVersion,
    increment: CountIncrement,
  ): void {
    const isSeparate =
      this.byRoute.has(route) || this.byRoute.size < MAX_ROUTES;
    const name = isSeparate ? route : OTHER_ROUTES;
    const ofRoute = this.byRoute.get(name) ?? {};
    const before = ofRoute[this.incarnation] ?? decisions.NO_EVIDENCE;
    const after = {
      ...before,
      [version]: decisions.addCounts(before[version], increment),
    };
    this.byRoute.set(name, {...ofRoute, [this.incarnation]: after});
  }

  /** Merges the counts of another instance. */
  merge({incarnation, route, old, new: newCounts}: EvidenceRow): void {
    const known = this.byRoute.get(route) ?? {};
    const merged = decisions.mergeEvidence(known, {
      [incarnation]: {old, new: newCounts},
    });
    this.byRoute.set(route, merged);
  }

  /** Applies a watcher's sums over all instances. */
  applySums(sums: readonly EvidenceSumRow[], nowMs: number): void {
    const byRoute = new Map(
      sums.map(({route, old, new: newCounts}) => [
        route,
        {[ALL_INSTANCES]: {old, new: newCounts}},
      ]),
    );
    this.reportedSums = {atMs: nowMs, byRoute};
  }

  /** Counts of all known instances, or only of this one. */
  rows(scope: 'all' | 'own'): readonly EvidenceRow[] {
    return [...this.byRoute].flatMap(([route, ofRoute]) =>
      Object.entries(ofRoute)
        .filter(([name]) => scope === 'all' || name === this.incarnation)
        .map(([incarnation, counts]) => ({incarnation, route, ...counts})),
    );
  }

  /** Counts summed over instances. */
  sums(): readonly EvidenceSumRow[] {
    return [...this.byRoute].map(([route, ofRoute]) => ({
      route,
      ...decisions.findNewEvidence({}, ofRoute),
    }));
  }

  /**
   * The evidence to judge versions by: a watcher's sums while they are recent,
   * which include this instance's counts, else the counts by instance.
   */
  current(nowMs: number): decisions.EvidenceByRoute {
    const {reportedSums} = this;
    const isFresh =
      reportedSums !== undefined &&
      nowMs - reportedSums.atMs <= REPORTED_SUMS_TTL_MS;
    return isFresh ? reportedSums.byRoute : this.byRoute;
  }
}
