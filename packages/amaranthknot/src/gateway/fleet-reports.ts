/** What instances tell each other, put together from their parts. */
import type * as protocol from '@amaranthknot/protocol';
import type * as gatewayComponents from './gateway-components.js';

/** Sessions that one instance and its watcher have told each other. */
interface ExchangedSessions {
  /** Names the watcher and its start. */
  readonly watcher: string;
  /** By order: those of this instance's list that the watcher has. */
  readonly sent: Readonly<Record<string, number>>;
  /** By order: those of the watcher's list that this instance has. */
  readonly known: Readonly<Record<string, number>>;
}

/**
 * Reports of one instance, to it and from it.
 *
 * Watchers tell each other all they know; the others tell their watcher of
 * themselves and take its word on the rest. A watcher takes no other one's
 * word: two that told each other an instance lives would do so for ever, and
 * sums that go round grow with each turn.
 */
export class FleetReports {
  private exchangedSessions: ExchangedSessions | undefined;
  /** Sessions of each order when this instance reported last. */
  private reportedCounts: Readonly<Record<string, number>> = {};
  /** Groups that watchers had when they were heard last, by their address. */
  private readonly peerGroups = new Map<
    string,
    readonly protocol.GroupState[]
  >();

  constructor(private readonly get: gatewayComponents.GatewayResolver) {}

  /** What this instance tells the peer at `address`. */
  createReport(address: string): protocol.FleetReport {
    const {get} = this;
    const now = get('options').clock.now();
    const isFollower = this.isLed();
    const known = this.peerGroups.get(address);
    const keepsGroup = get('watching').isWatcher();
    return {
      from: get('members').self,
      watchers: known ? [] : [...get('watching').findWatchers()],
      groups: keepsGroup ? [...get('members').groupStates(now)] : [],
      groupMembers: keepsGroup
        ? [...get('members').groupMembersNewerThan(known ?? [], now)]
        : [],
      views: [...get('relay').states()],
      // An instance that is told by a watcher reports these to it alone.
      upstreams: isFollower ? [] : [...this.collectReportedStats()],
      limits: [...get('limits').report()],
      evidence: isFollower ? [] : [...get('rollouts').evidence()],
      rollouts: isFollower ? [] : [...get('rollouts').progress()],
    };
  }

  /** Takes in what a peer told, asked or unasked. Its views are not taken. */
  applyReport(report: protocol.FleetReport): void {
    const {get} = this;
    const now = get('options').clock.now();
    this.applyMembers(report, now);
    get('limits').merge(report.limits);
    get('rollouts').merge(report.rollouts, report.evidence);
    if (!this.isLed()) {
      // A watcher's sums count the same requests; with both, engines look
      // twice as busy as they are and capable models too dear.
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
    if (!this.isLed()) {
      members.mergeGroups(groups, groupMembers, nowMs);
      this.peerGroups.set(from.peers, groups);
    }
  }

  /** What this instance tells its watcher. */
  createFollowerReport(watcher: protocol.Member): protocol.FollowerReport {
    const {get} = this;
    const name = formatIncarnation(watcher);
    const told = this.sessionsExchangedWith(name);
    this.exchangedSessions = told;
    this.reportedCounts = get('rollouts').pinnedCounts();
    const isWatcher = get('watching').isWatcher();
    return {
      from: get('members').self,
      isWatcher,
      // Watchers hear of each other's signs when they exchange all.
      upstreams: isWatcher ? [] : [...get('picker').report()],
      limits: [...get('limits').report()],
      evidence: [...get('rollouts').evidence('own')],
      rollouts: [...get('rollouts').progress(told.sent)],
      membersVersion: get('members').watcherListVersion(name),
      pinnedKnown: {...told.known},
    };
  }

  /** Takes in what an instance reported that is told by this one. */
  applyFollowerReport(report: protocol.FollowerReport): void {
    const {get} = this;
    const now = get('options').clock.now();
    get('limits').merge(report.limits);
    if (report.isWatcher) {
      get('members').recordKeeper(report.from, now);
      return;
    }
    get('members').recordCaller(report.from, now);
    get('picker').merge(report.from.id, report.upstreams, 'itself');
    get('rollouts').merge(report.rollouts, report.evidence);
  }

  /** What this instance knows of the fleet, for one that it tells. */
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
      evidence: [...get('rollouts').evidenceSums()],
      rollouts: [...get('rollouts').progress(report.pinnedKnown)],
      pinnedCounts: {...get('rollouts').pinnedCounts()},
    };
  }

  /** Takes in what a watcher told. */
  applySummary(watcher: protocol.Member, summary: protocol.FleetSummary): void {
    const {get} = this;
    if (get('watching').isWatcher()) {
      return;
    }
    const {membersVersion, members, upstreams, limits, evidence, rollouts} =
      summary;
    const now = get('options').clock.now();
    const name = formatIncarnation(watcher);
    get('members').applyWatcherList(name, membersVersion, members, now);
    get('picker').merge(WATCHER_SOURCE, upstreams, 'others');
    get('limits').merge(limits);
    get('rollouts').applySums(rollouts, evidence);
    this.exchangedSessions = {
      watcher: name,
      sent: this.reportedCounts,
      known: summary.pinnedCounts,
    };
  }

  /** Whether a watcher tells this instance of the fleet. */
  private isLed(): boolean {
    const {get} = this;
    const now = get('options').clock.now();
    return get('members').hasWatcherList(now) && !get('watching').isWatcher();
  }

  private sessionsExchangedWith(watcher: string): ExchangedSessions {
    return this.exchangedSessions?.watcher === watcher
      ? this.exchangedSessions
      : {watcher, sent: {}, known: {}};
  }

  /** Own signs, and those of instances that report to this one directly. */
  private collectReportedStats(): readonly protocol.UpstreamStats[] {
    return this.get('picker').report((_, scope) => scope === 'itself');
  }
}

/** Name under which a watcher's sums are kept, whichever one tells them. */
const WATCHER_SOURCE = 'watcher';

const formatIncarnation = ({id, start}: protocol.Member): string =>
  `${id}.${start}`;
