/**
 * Builds the reports that one instance sends to others, and applies those that
 * it receives.
 *
 * Watchers exchange all they know. Followers report themselves to their watcher
 * and receive its summary of the rest. A watcher applies no summary of another
 * watcher: two that reported an instance as live to each other would keep it
 * live for ever, and sums that circulate would grow with each round.
 */
import type * as decisions from '@amaranthknot/decisions';
import type * as protocol from '@amaranthknot/protocol';
import type * as gatewayComponents from './gateway-components.js';

/** Session counts that one instance and its watcher have exchanged. */
interface ExchangedSessions {
  /** Incarnation of the watcher, see `formatIncarnation`. */
  readonly watcher: string;
  /** By rollout: how many of this instance's list the watcher has. */
  readonly sent: Readonly<Record<string, number>>;
  /** By rollout: how many of the watcher's list this instance has. */
  readonly known: Readonly<Record<string, number>>;
}

/** Reports that one instance sends and receives. */
export class FleetReports {
  private exchangedSessions: ExchangedSessions | undefined;
  /** Session counts by rollout in this instance's last report. */
  private reportedCounts: Readonly<Record<string, number>> = {};
  /** Group states in the last report of each watcher, by peer address. */
  private readonly peerGroups = new Map<
    string,
    readonly protocol.GroupState[]
  >();

  /** For how long watchers know all sends, in ms, by peer address. */
  private readonly knownPasts = new Map<string, number>();

  constructor(private readonly get: gatewayComponents.GatewayResolver) {}

  /** Creates the report for the peer at `address`. */
  createReport(address: string): protocol.FleetReport {
    const {get} = this;
    const now = get('options').clock.now();
    const isFollower = this.isFollower();
    const knownGroups = this.peerGroups.get(address);
    const isWatcher = get('watchRole').isWatcher();
    return {
      from: get('members').self,
      watchers: knownGroups ? [] : [...get('watchRole').findWatchers()],
      groups: isWatcher ? [...get('members').groupStates(now)] : [],
      groupMembers: isWatcher
        ? [...get('members').groupMembersNewerThan(knownGroups ?? [], now)]
        : [],
      views: [...get('relay').states()],
      // A follower reports these to its watcher alone.
      upstreams: isFollower ? [] : [...this.collectReportedStats()],
      limits: [...get('limits').report()],
      ...this.createOptionalLists(),
      ...(isWatcher ? {sends: this.createWatcherSends(address)} : {}),
      evidence: isFollower ? [] : [...get('rollouts').evidence()],
      rollouts: isFollower ? [] : [...get('rollouts').progress()],
    };
  }

  /** Applies a peer's report or answer, except for its views. */
  applyReport(report: protocol.FleetReport): void {
    const {get} = this;
    const now = get('options').clock.now();
    this.applyMembers(report, now);
    get('limits').merge(report.limits);
    get('concurrencyShares').merge(report.refusalLimits ?? []);
    get('partQuarantine').merge(report.suspectParts ?? []);
    get('upstreamAbsences').merge(report.absences ?? []);
    get('rollouts').merge(report.rollouts, report.evidence);
    // A follower has its watcher's totals, which count the same sends.
    if (report.sends && !this.isFollower()) {
      get('fleetSends').mergeWatcher(report.sends);
    }
    this.recordPast(report.from.peers, report.sends);
    if (!this.isFollower()) {
      // A follower has its watcher's sums, which count the same requests. With
      // both, engines would look twice as busy as they are, and capable models
      // too expensive.
      get('picker').merge(report.from.id, report.upstreams, 'others');
    }
  }

  private applyMembers(
    {from, watchers, groups, groupMembers}: protocol.FleetReport,
    nowMs: number,
  ): void {
    const members = this.get('members');
    members.merge(watchers, nowMs);
    if (groups.length === 0) {
      this.peerGroups.delete(from.peers);
      members.recordCaller(from, nowMs);
      return;
    }
    members.recordKeeper(from, nowMs);
    if (!this.isFollower()) {
      members.mergeGroups(groups, groupMembers, nowMs);
      this.peerGroups.set(from.peers, groups);
    }
  }

  /** Creates the report for this instance's watcher. */
  createFollowerReport(watcher: protocol.Member): protocol.FollowerReport {
    const {get} = this;
    const name = formatIncarnation(watcher);
    const exchanged = this.sessionsExchangedWith(name);
    this.exchangedSessions = exchanged;
    this.reportedCounts = get('rollouts').pinnedCounts();
    const isWatcher = get('watchRole').isWatcher();
    return {
      from: get('members').self,
      isWatcher,
      // Watchers receive each other's stats in their exchange of reports.
      upstreams: isWatcher ? [] : [...get('picker').report()],
      limits: [...get('limits').report()],
      ...this.createOptionalLists(),
      // Watchers count their own sends to their groups.
      ...(isWatcher ? {} : {sends: this.createFollowerSends(watcher)}),
      evidence: [...get('rollouts').evidence('own')],
      rollouts: [...get('rollouts').progress(exchanged.sent)],
      membersVersion: get('members').watcherListVersion(name),
      pinnedKnown: {...exchanged.known},
    };
  }

  /** Applies the report of an instance that this one sends updates to. */
  applyFollowerReport(report: protocol.FollowerReport): void {
    const {get} = this;
    const now = get('options').clock.now();
    get('limits').merge(report.limits);
    get('concurrencyShares').merge(report.refusalLimits ?? []);
    get('partQuarantine').merge(report.suspectParts ?? []);
    get('upstreamAbsences').merge(report.absences ?? []);
    if (report.isWatcher) {
      get('members').recordKeeper(report.from, now);
      return;
    }
    get('members').recordCaller(report.from, now);
    get('picker').merge(report.from.id, report.upstreams, 'itself');
    if (report.sends) {
      get('fleetSends').addFollower(report.sends);
    }
    get('rollouts').merge(report.rollouts, report.evidence);
  }

  /** Creates the summary of the fleet for the follower that sent `report`. */
  createSummary(report: protocol.FollowerReport): protocol.FleetSummary {
    const {get} = this;
    const {id} = report.from;
    const now = get('options').clock.now();
    const membersVersion = get('members').listVersion(now);
    const members = get('members').listDelta(report.membersVersion);
    return {
      membersVersion,
      ...(members ? {members} : {}),
      upstreams: [
        ...get('picker').report(name => name !== id && name !== WATCHER_SOURCE),
      ],
      limits: [...get('limits').report()],
      ...this.createOptionalLists(),
      sends: get('fleetSends').createTotals(report.sends?.knownForMs),
      evidence: [...get('rollouts').evidenceSums()],
      rollouts: [...get('rollouts').progress(report.pinnedKnown)],
      pinnedCounts: {...get('rollouts').pinnedCounts()},
    };
  }

  /** Applies a watcher's summary, unless this instance is a watcher itself. */
  applySummary(watcher: protocol.Member, summary: protocol.FleetSummary): void {
    const {get} = this;
    get('fleetSends').confirmReport();
    if (get('watchRole').isWatcher()) {
      return;
    }
    get('fleetSends').applyTotals(summary.sends);
    this.recordPast(watcher.peers, summary.sends);
    const {membersVersion, members, upstreams, evidence, rollouts} = summary;
    const {limits, refusalLimits, suspectParts, absences} = summary;
    const now = get('options').clock.now();
    const name = formatIncarnation(watcher);
    get('members').applyWatcherList(name, membersVersion, members, now);
    get('knownFleet').recordListFrom(watcher);
    get('picker').merge(WATCHER_SOURCE, upstreams, 'others');
    get('limits').merge(limits);
    get('concurrencyShares').merge(refusalLimits ?? []);
    get('partQuarantine').merge(suspectParts ?? []);
    get('upstreamAbsences').merge(absences ?? []);
    get('rollouts').applySums(rollouts, evidence);
    this.exchangedSessions = {
      watcher: name,
      sent: this.reportedCounts,
      known: summary.pinnedCounts,
    };
  }

  private createWatcherSends(address: string): decisions.WatcherSends {
    const knownForMs = this.knownPasts.get(address);
    return this.get('fleetSends').createWatcherReport(knownForMs);
  }

  private createFollowerSends({
    peers,
  }: protocol.Member): decisions.FollowerSends {
    return this.get('fleetSends').createReport(this.knownPasts.get(peers));
  }

  /** Records for how long a peer knows all sends. */
  private recordPast(
    address: string,
    sends: decisions.ToldSends | undefined,
  ): void {
    if (sends) {
      this.knownPasts.set(address, sends.knownForMs);
    } else {
      this.knownPasts.delete(address);
    }
  }

  /** Lists that are left out of messages while they are empty. */
  private createOptionalLists(): Pick<
    protocol.FleetReport,
    'refusalLimits' | 'suspectParts' | 'absences'
  > {
    const refusalLimits = [...this.get('concurrencyShares').report()];
    const suspectParts = [...this.get('partQuarantine').report()];
    const absences = [...this.get('upstreamAbsences').report()];
    return {
      ...(refusalLimits.length === 0 ? {} : {refusalLimits}),
      ...(suspectParts.length === 0 ? {} : {suspectParts}),
      ...(absences.length === 0 ? {} : {absences}),
    };
  }

  /** Whether this instance gets the state of the fleet from a watcher. */
  private isFollower(): boolean {
    const {get} = this;
    const now = get('options').clock.now();
    return get('members').hasWatcherList(now) && !get('watchRole').isWatcher();
  }

  private sessionsExchangedWith(watcher: string): ExchangedSessions {
    return this.exchangedSessions?.watcher === watcher
      ? this.exchangedSessions
      : {watcher, sent: {}, known: {}};
  }

  /** Own stats, and those of instances that report to this one directly. */
  private collectReportedStats(): readonly protocol.UpstreamStats[] {
    return this.get('picker').report((_, scope) => scope === 'itself');
  }
}

/** Source name for a watcher's sums, whichever watcher sent them. */
const WATCHER_SOURCE = 'watcher';

const formatIncarnation = ({id, start}: protocol.Member): string =>
  `${id}.${start}`;
