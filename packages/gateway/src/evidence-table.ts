/** Evidence on the two versions of one order, by route and instance. */
import * as decisions from '@amaranthknot/decisions';
import type * as protocol from '@amaranthknot/protocol';

/** Evidence of one order as it goes from instance to instance. */
export type EvidenceRow = Omit<protocol.OrderEvidence, 'order'>;

/** Sums over all instances on one route of an order. */
export type EvidenceSumRow = Omit<protocol.EvidenceSum, 'order'>;

/** What to add to the counts of a version. */
export type CountIncrement = Partial<decisions.VersionCounts>;

/**
 * Routes of one order whose answers are counted apart; bounds the messages
 * between instances. Answers of further routes count together.
 */
const MAX_ROUTES = 8;

/** Name under which answers of further routes are counted. */
const OTHER_ROUTES = '*';

/** Time for which a watcher's sums count, in ms: some of its answers. */
const REPORTED_SUMS_TTL_MS = 1_500;

/** Name under which sums over all instances are kept. */
const ALL_INSTANCES = 'all';

interface ReportedSums {
  readonly atMs: number;
  readonly byRoute: decisions.EvidenceByRoute;
}

/** What one instance knows of the versions of one order. */
export class EvidenceTable {
  /** Counts by route and instance: own ones, and those that peers told. */
  private readonly byRoute = new Map<string, decisions.EvidenceByInstance>();
  private reportedSums: ReportedSums | undefined;

  /** @param incarnation names this start of this instance. */
  constructor(private readonly incarnation: string) {}

  /** Counts what this instance saw of a version. */
  count(
    route: string,
    version: decisions.RolloutVersion,
    increment: CountIncrement,
  ): void {
    const isApart = this.byRoute.has(route) || this.byRoute.size < MAX_ROUTES;
    const name = isApart ? route : OTHER_ROUTES;
    const ofRoute = this.byRoute.get(name) ?? {};
    const before = ofRoute[this.incarnation] ?? decisions.NO_EVIDENCE;
    const after = {
      ...before,
      [version]: decisions.addCounts(before[version], increment),
    };
    this.byRoute.set(name, {...ofRoute, [this.incarnation]: after});
  }

  /** Takes in what an instance counted. */
  merge({incarnation, route, old, new: fresh}: EvidenceRow): void {
    const known = this.byRoute.get(route) ?? {};
    const merged = decisions.mergeEvidence(known, {
      [incarnation]: {old, new: fresh},
    });
    this.byRoute.set(route, merged);
  }

  /** Takes in sums that a watcher made over all instances. */
  applySums(sums: readonly EvidenceSumRow[], nowMs: number): void {
    const byRoute = new Map(
      sums.map(({route, old, new: fresh}) => [
        route,
        {[ALL_INSTANCES]: {old, new: fresh}},
      ]),
    );
    this.reportedSums = {atMs: nowMs, byRoute};
  }

  /** Counts of all instances that are known, or of this one alone. */
  rows(scope: 'all' | 'own'): readonly EvidenceRow[] {
    return [...this.byRoute].flatMap(([route, ofRoute]) =>
      Object.entries(ofRoute)
        .filter(([name]) => scope === 'all' || name === this.incarnation)
        .map(([incarnation, counts]) => ({incarnation, route, ...counts})),
    );
  }

  /** Counts added up over instances. */
  sums(): readonly EvidenceSumRow[] {
    return [...this.byRoute].map(([route, ofRoute]) => ({
      route,
      ...decisions.findNewEvidence({}, ofRoute),
    }));
  }

  /**
   * What versions are judged by: a watcher's sums while it tells them, which
   * count this instance's answers too, else what peers told.
   */
  current(nowMs: number): decisions.EvidenceByRoute {
    const {reportedSums} = this;
    const isFresh =
      reportedSums !== undefined &&
      nowMs - reportedSums.atMs <= REPORTED_SUMS_TTL_MS;
    return isFresh ? reportedSums.byRoute : this.byRoute;
  }
}
