/**
 * What all instances sent within the window in which operators count repeats,
 * as far as one of them knows: requests that were sent for the first time, and
 * repeats.
 *
 * Load: callers that move between instances, and instances that are restarted,
 * while most requests are sent again. Harm prevented: each instance counts for
 * itself, so that what one has earned and what was sent by one that is gone
 * count twice, or not at all, and together they send more repeats than the
 * limit for all.
 *
 * Followers report to their watcher what they sent since its last answer.
 * Watchers tell each other what their groups sent, and followers what the window
 * holds. One that has started lately is told what the others know of the time
 * before. Pure: the clock is an option.
 */
import * as sendWindow from './send-window.js';

type SendCounts = sendWindow.SendCounts;

/** The sends for one service. */
export interface ServiceSends extends SendCounts {
  readonly service: string;
}

/** The sends for one service of a watcher and the instances that report to it. */
export interface GroupSends extends ServiceSends {
  /** Identifies the watcher and its start; the counts begin at 0 there. */
  readonly keeper: string;
  /** Time since the watcher told them, in milliseconds. */
  readonly ageMs: number;
  /** Those of the counts that were within the window then, by their age. */
  readonly recent: readonly SendCounts[];
}

/** All known sends for one service, by their age. */
export interface ServiceHistory {
  readonly service: string;
  readonly recent: readonly SendCounts[];
}

/** What one instance knows of all, for one that knows less of the past. */
export type SendHistory = readonly ServiceHistory[];

/** What all messages about sends have. */
export interface ToldSends {
  /** For how long the teller has known of all sends, in milliseconds. */
  readonly knownForMs: number;
  /** Present if the receiver said that it knows less of the past. */
  readonly history?: SendHistory | undefined;
}

/** A follower's report to its watcher. */
export interface FollowerSends extends ToldSends {
  /** What it sent since the last report that was answered. */
  readonly sent: readonly ServiceSends[];
  /** Time over which it sent them, in milliseconds. */
  readonly overMs: number;
}

/** What a watcher tells its followers. */
export interface FleetTotals extends ToldSends {
  /** What the window holds. */
  readonly totals: readonly ServiceSends[];
}

/** What a watcher tells another one. */
export interface WatcherSends extends ToldSends {
  readonly groups: readonly GroupSends[];
}

/** Options of `FleetSends`. */
export interface FleetSendsOptions {
  /** Identifies this instance and its start. */
  readonly self: string;
  readonly windowMs: number;
  readonly now: () => number;
  /** Whether there is no other instance. */
  readonly isAlone: () => boolean;
}

/** What one instance knows of the fleet's sends for a service. */
export interface KnownSends extends SendCounts {
  /** Time since another instance last told of its sends, in ms. */
  readonly ageMs: number;
  /** For how long it has known of all sends, in ms; at most the window. */
  readonly knownForMs: number;
  /**
   * Repeats within the last tenth of the window, the last two tenths, and so on
   * up to the whole window.
   */
  readonly repeatsByAge: readonly number[];
}

/** The sends of one group as known here. */
interface KnownGroup {
  readonly sends: GroupSends;
  /** When the watcher told them, by this instance's clock. */
  readonly atMs: number;
}

/** Length of the past that is worth a list of it, in milliseconds. */
const MIN_HISTORY_MS = 1_000;

type WindowsByService = Map<string, sendWindow.SendWindow>;

/** The sends of all instances, as one of them knows them. */
export class FleetSends {
  /** All known sends by service, this instance's own included. */
  private readonly fleet: WindowsByService = new Map();
  /** Own sends by service that no watcher is known to have. */
  private unreported = new Map<string, SendCounts>();
  /** Those of them in the report that is on its way. */
  private inReport: readonly ServiceSends[] = [];
  /** Time up to which own sends are reported. */
  private reportedUntilMs: number;
  /** Time up to which the report that is on its way tells them. */
  private inReportUntilMs: number;
  /** Sends of this instance's own group, by service. */
  private readonly ownTotals = new Map<string, SendCounts>();
  private readonly ownWindows: WindowsByService = new Map();
  /** Groups of other watchers, by keeper and service. */
  private readonly groups = new Map<string, KnownGroup>();
  /** Time since which all sends are known. */
  private knownSinceMs: number;
  private heardAtMs: number | undefined;
  /**
   * Time up to which the sends of all groups are known otherwise: from the
   * history before the start, or from a watcher's totals.
   */
  private groupsKnownUntilMs: number;
  private isUntold = false;

  constructor(private readonly options: FleetSendsOptions) {
    this.knownSinceMs = options.now();
    this.groupsKnownUntilMs = this.knownSinceMs;
    this.reportedUntilMs = this.knownSinceMs;
    this.inReportUntilMs = this.knownSinceMs;
  }

  /** Whether the other instances are of a release that tells no sends. */
  get isToldNothing(): boolean {
    return this.isUntold;
  }

  /** For how long this instance has known of all sends, in milliseconds. */
  get knownForMs(): number {
    const forMs = this.options.now() - this.knownSinceMs;
    return Math.min(this.options.windowMs, forMs);
  }

  /** Records sends of this instance. */
  recordOwn(service: string, sends: SendCounts): void {
    this.windowOf(this.fleet, service).add(sends, this.options.now());
    const before = this.unreportedOf(service);
    this.unreported.set(service, sendWindow.addSends(before, sends));
  }

  /** What is known of a service; undefined while no other instance told. */
  find(service: string): KnownSends | undefined {
    const now = this.options.now();
    const heardAtMs = this.options.isAlone() ? now : this.heardAtMs;
    if (heardAtMs === undefined) {
      return undefined;
    }
    const window = this.windowOf(this.fleet, service);
    return {
      ...window.count(now),
      ageMs: now - heardAtMs,
      knownForMs: this.knownForMs,
      repeatsByAge: window.sumByAge(now).map(({repeats}) => repeats),
    };
  }

  /**
   * Creates a follower's report to its watcher.
   *
   * @param watcherKnownForMs for how long the watcher knows all sends, if it
   *     said so.
   */
  createReport(watcherKnownForMs?: number): FollowerSends {
    this.inReport = [...this.unreported]
      .map(([service, sends]) => ({service, ...sends}))
      .filter(sends => !sendWindow.isNoSends(sends));
    this.inReportUntilMs = this.options.now();
    const overMs = this.inReportUntilMs - this.reportedUntilMs;
    return {...this.tell(watcherKnownForMs), sent: this.inReport, overMs};
  }

  /**
   * Records that the watcher has answered the report. If it applied a report
   * whose answer was lost, its sends are reported and counted once more.
   */
  confirmReport(): void {
    for (const {service, ...sends} of this.inReport) {
      const before = this.unreportedOf(service);
      this.unreported.set(service, sendWindow.subtractSends(before, sends));
    }
    this.inReport = [];
    this.reportedUntilMs = this.inReportUntilMs;
  }

  /** Applies a watcher's totals; undefined if it tells none. */
  applyTotals(told: FleetTotals | undefined): void {
    this.isUntold = told === undefined;
    if (told === undefined) {
      return;
    }
    const now = this.options.now();
    const sinceMs = now - told.knownForMs;
    this.adoptHistory(told);
    for (const {service, ...total} of told.totals) {
      // The watcher has not counted what this instance sent since its report.
      const known = sendWindow.addSends(total, this.unreportedOf(service));
      this.windowOf(this.fleet, service).correct(known, now, sinceMs);
    }
    this.heardAtMs = now;
    this.groupsKnownUntilMs = now;
    this.groups.clear();
  }

  /** Applies the report of a follower. */
  addFollower(told: FollowerSends): void {
    const now = this.options.now();
    this.adoptHistory(told);
    const span = {afterMs: now - told.overMs, beforeMs: now};
    for (const {service, ...sends} of told.sent) {
      this.windowOf(this.fleet, service).addSpread(sends, span);
      this.addToOwnGroup(service, sends, span);
    }
  }

  /**
   * Creates what a watcher tells a follower.
   *
   * @param followerKnownForMs for how long the follower knows all sends.
   */
  createTotals(followerKnownForMs?: number): FleetTotals {
    const now = this.options.now();
    const totals = [...this.fleet].map(([service, window]) => {
      const {requests, repeats} = window.count(now);
      return {
        service,
        requests: Math.round(requests),
        repeats: Math.round(repeats),
      };
    });
    return {...this.tell(followerKnownForMs), totals};
  }

  /**
   * Creates a watcher's report to another one: all groups that it knows.
   *
   * @param otherKnownForMs for how long the other one knows all sends, if it
   *     said so.
   */
  createWatcherReport(otherKnownForMs?: number): WatcherSends {
    this.moveOwnToGroup();
    const now = this.options.now();
    const own = [...this.ownTotals].map(([service, sends]) => ({
      keeper: this.options.self,
      service,
      ...sends,
      ageMs: 0,
      recent: this.windowOf(this.ownWindows, service).list(now).map(roundSends),
    }));
    const others = [...this.groups.values()].map(({sends, atMs}) => ({
      ...sends,
      ageMs: now - atMs,
    }));
    return {...this.tell(otherKnownForMs), groups: [...own, ...others]};
  }

  /** Merges what another watcher tells. */
  mergeWatcher(told: WatcherSends): void {
    const now = this.options.now();
    this.adoptHistory(told);
    for (const group of told.groups) {
      if (group.keeper !== this.options.self) {
        this.mergeGroup(group, now);
      }
    }
    this.heardAtMs = now;
    this.isUntold = false;
    this.dropSilentGroups(now);
  }

  /**
   * Of a group that was not known before, what is known otherwise is left out.
   */
  private mergeGroup(group: GroupSends, nowMs: number): void {
    const {keeper, service, ageMs, recent} = group;
    const key = `${keeper} ${service}`;
    const before = this.groups.get(key);
    const atMs = nowMs - ageMs;
    const window = this.windowOf(this.fleet, service);
    if (before) {
      const sends = sendWindow.subtractSends(group, before.sends);
      window.addSpread(sends, {afterMs: before.atMs, beforeMs: atMs});
    } else {
      const span = {afterMs: this.groupsKnownUntilMs, beforeMs: nowMs};
      window.addList(recent, atMs, span);
    }
    if (!before || isLater(group, before.sends)) {
      this.groups.set(key, {sends: group, atMs});
    }
  }

  /** A group that has sent nothing for a window has none of its sends in it. */
  private dropSilentGroups(nowMs: number): void {
    for (const [key, {atMs}] of this.groups) {
      if (nowMs - atMs > this.options.windowMs) {
        this.groups.delete(key);
      }
    }
  }

  /** What a message tells an instance, with the past if it knows less of it. */
  private tell(otherKnownForMs = Infinity): ToldSends {
    const {knownForMs} = this;
    if (knownForMs - otherKnownForMs < MIN_HISTORY_MS) {
      return {knownForMs};
    }
    const now = this.options.now();
    const history = [...this.fleet].map(([service, window]) => ({
      service,
      recent: window.list(now).map(roundSends),
    }));
    return {knownForMs, history};
  }

  /** Takes over what was sent before this instance knew of all sends. */
  private adoptHistory({knownForMs, history}: ToldSends): void {
    if (!history || knownForMs <= this.knownForMs) {
      return;
    }
    const now = this.options.now();
    const span = {afterMs: -Infinity, beforeMs: this.knownSinceMs};
    for (const {service, recent} of history) {
      this.windowOf(this.fleet, service).addList(recent, now, span);
    }
    this.knownSinceMs = now - knownForMs;
  }

  /** What this instance sent itself counts to its group from now on. */
  private moveOwnToGroup(): void {
    const now = this.options.now();
    const span = {afterMs: this.reportedUntilMs, beforeMs: now};
    for (const [service, sends] of this.unreported) {
      this.addToOwnGroup(service, sends, span);
    }
    this.unreported = new Map();
    this.inReport = [];
    this.reportedUntilMs = now;
    this.inReportUntilMs = now;
  }

  private addToOwnGroup(
    service: string,
    sends: SendCounts,
    span: sendWindow.TimeSpan,
  ): void {
    const before = this.ownTotals.get(service) ?? sendWindow.NO_SENDS;
    this.ownTotals.set(service, sendWindow.addSends(before, sends));
    this.windowOf(this.ownWindows, service).addSpread(sends, span);
  }

  private unreportedOf(service: string): SendCounts {
    return this.unreported.get(service) ?? sendWindow.NO_SENDS;
  }

  private windowOf(
    windows: WindowsByService,
    service: string,
  ): sendWindow.SendWindow {
    const known = windows.get(service);
    if (known) {
      return known;
    }
    const created = new sendWindow.SendWindow(this.options.windowMs);
    windows.set(service, created);
    return created;
  }
}

/** Rounds to hundredths, which keeps messages short. */
const roundSends = ({requests, repeats}: SendCounts): SendCounts => ({
  requests: Math.round(100 * requests) / 100,
  repeats: Math.round(100 * repeats) / 100,
});

/** Whether a watcher told the first after the second. */
const isLater = (first: SendCounts, second: SendCounts): boolean =>
  first.requests > second.requests || first.repeats > second.repeats;
