/**
 * Simulates a cold upstream and the entry instances that use it. Their views of
 * each other differ, messages are lost and instances are replaced. Time advances
 * in ticks.
 */
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';

/** Conditions of a run. */
export interface WarmUpScenario {
  readonly instances: number;
  readonly curve: decisions.WarmUpCurve;
  readonly timing: decisions.WarmUpTiming;
  /** Mean duration of a request, in milliseconds. */
  readonly workMs: number;
  /** Mean time between replacements of an instance, in milliseconds. */
  readonly replaceEveryMs: number;
  /** Maximum lag of an instance's view, in milliseconds. */
  readonly viewLagMs: number;
  /** Fraction of messages between instances that are lost. */
  readonly lost: number;
  /** When the upstream becomes cold again; undefined for never. */
  readonly coldAgainAtMs?: number;
  /** Longest time until an instance notices that by itself, in milliseconds. */
  readonly maxNoticeMs?: number;
  readonly lengthMs: number;
}

/** Result of a run. */
export interface WarmUpRun {
  /** Highest ratio of the requests in progress to the upstream's capacity. */
  readonly maxLoadRatio: number;
  /** Ticks in which newly sent requests exceeded the capacity. */
  readonly ticksOverCapacity: number;
  /** When requests in progress first reached `FULL_USE_FRACTION` of all slots. */
  readonly fullAtMs: number;
  /** Requests for grants sent to issuers. */
  readonly messages: number;
  /** Time from becoming cold to the last request sent above the capacity. */
  readonly lastExcessMs: number;
}

/** Length of a tick, in milliseconds. */
export const TICK_MS = 100;
const FULL_USE_FRACTION = 0.9;
const UPSTREAM = 'upstream-a';

interface Work {
  readonly endsAtMs: number;
}

/** An entry instance that sends to the upstream. */
export interface Sender {
  readonly id: string;
  readonly startedAtMs: number;
  work: Work[];
  grant: decisions.HeldGrant | undefined;
  nextAskMs: number;
  /** When it notices that the upstream is cold again. */
  noticesColdAtMs: number;
  /** State as issuer of grants; undefined if it has not been the issuer. */
  issuer: decisions.WarmUpIssuer | undefined;
}

interface Change {
  readonly atMs: number;
  readonly gone: string;
  readonly added: string;
}

/** Policy under test: the slots that a sender may use now. */
export type Allowance = (
  sender: Sender,
  ranks: readonly string[],
  ageMs: number,
) => number;

class Fleet {
  readonly senders: Sender[];
  readonly changes: Change[] = [];
  messages = 0;
  private nextId: number;
  private readonly lags = new Map<string, number>();
  private readonly ranks = new Map<string, readonly string[]>();

  constructor(
    readonly scenario: WarmUpScenario,
    readonly random: () => number,
  ) {
    this.nextId = scenario.instances;
    this.senders = Array.from({length: scenario.instances}, (_, i) =>
      this.createSender(`entry-${i}`, Number.NEGATIVE_INFINITY),
    );
  }

  replaceRandomSender(nowMs: number): void {
    const index = Math.floor(this.random() * this.senders.length);
    const gone = this.senders[index];
    const added = this.createSender(`entry-${this.nextId++}`, nowMs);
    if (gone) {
      this.senders[index] = added;
      this.changes.push({atMs: nowMs, gone: gone.id, added: added.id});
    }
  }

  /** Ids that a sender believes to be live; it sees changes late. */
  findView(sender: Sender, nowMs: number): readonly string[] {
    const ids = new Set(this.senders.map(other => other.id));
    for (const change of this.changes.slice(
      this.countSeenChanges(sender, nowMs),
    )) {
      ids.delete(change.added);
      ids.add(change.gone);
    }
    return [...ids.add(sender.id)];
  }

  /** The first ranks in a sender's view, computed once for each view. */
  findRanks(sender: Sender, nowMs: number): readonly string[] {
    const seen = this.countSeenChanges(sender, nowMs);
    const isNew = sender.startedAtMs > nowMs - (this.lags.get(sender.id) ?? 0);
    const key = isNew ? `${seen}/${sender.id}` : String(seen);
    const known = this.ranks.get(key);
    // Instances whose removal is not seen yet are still in the view.
    if (known) {
      return known;
    }
    const view = this.findView(sender, nowMs);
    const {fullSlots} = this.scenario.curve;
    const ranks = decisions.rankByRendezvous(UPSTREAM, view, fullSlots);
    this.ranks.set(key, ranks);
    return ranks;
  }

  /** An instance that starts after the upstream became cold knows it at once. */
  private drawNoticeTime(startedAtMs: number): number {
    const {coldAgainAtMs = Infinity, maxNoticeMs = 0} = this.scenario;
    const delay = startedAtMs > coldAgainAtMs ? 0 : this.random() * maxNoticeMs;
    return coldAgainAtMs + delay;
  }

  /** Number of changes that a sender has seen; it sees them in order. */
  private countSeenChanges(sender: Sender, nowMs: number): number {
    const until = nowMs - (this.lags.get(sender.id) ?? 0);
    const unseen = this.changes.findIndex(change => change.atMs > until);
    return unseen < 0 ? this.changes.length : unseen;
  }

  private createSender(id: string, startedAtMs: number): Sender {
    this.lags.set(id, this.random() * this.scenario.viewLagMs);
    return {
      id,
      startedAtMs,
      work: [],
      grant: undefined,
      nextAskMs: this.random() * this.scenario.timing.termMs,
      noticesColdAtMs: this.drawNoticeTime(startedAtMs),
      issuer: undefined,
    };
  }
}

const requestGrant = (fleet: Fleet, sender: Sender, nowMs: number): void => {
  const {curve, timing, lost} = fleet.scenario;
  sender.nextAskMs = nowMs + timing.termMs / 2;
  const ranks = fleet.findRanks(sender, nowMs);
  if (!ranks.includes(sender.id)) {
    return;
  }
  const [first] = ranks;
  const issuer = fleet.senders.find(other => other.id === first);
  fleet.messages++;
  if (!issuer || fleet.random() < lost) {
    return;
  }
  // A request for a grant tells the issuer that the upstream is cold.
  if (nowMs >= sender.noticesColdAtMs) {
    issuer.noticesColdAtMs = Math.min(issuer.noticesColdAtMs, nowMs);
  }
  const {coldAgainAtMs = 0} = fleet.scenario;
  const coldSinceMs = nowMs >= issuer.noticesColdAtMs ? coldAgainAtMs : 0;
  // The issuer is the first rank, so the first ranks suffice to find it.
  const membership = {
    instances: fleet.findRanks(issuer, nowMs),
    confirmedAtMs: nowMs,
    memberSinceMs: issuer.startedAtMs,
  };
  if (
    !decisions.mayIssueGrants(UPSTREAM, issuer.id, membership, nowMs, timing)
  ) {
    issuer.issuer = undefined;
    return;
  }
  issuer.issuer ??=
    nowMs <= coldSinceMs + timing.termMs && coldSinceMs === 0
      ? decisions.createInitialIssuer(coldSinceMs)
      : decisions.createSuccessorIssuer(coldSinceMs, nowMs, timing);
  if (issuer.issuer.coldSinceMs !== coldSinceMs) {
    issuer.issuer = decisions.resetIssuer(issuer.issuer, coldSinceMs);
  }
  const request = {
    instance: sender.id,
    wanted: curve.fullSlots,
    inFlight: sender.work.length,
  };
  const answer = decisions.issueGrant(
    issuer.issuer,
    request,
    nowMs,
    curve,
    timing,
  );
  issuer.issuer = answer.issuer;
  if (fleet.random() >= lost) {
    const {slots, termMs} = answer.grant;
    sender.grant = {slots, endsAtMs: nowMs + termMs};
  }
};

/** Runs a scenario; senders follow `allowance`, or use grants without it. */
export const runWarmUp = (
  scenario: WarmUpScenario,
  random: () => number,
  allowance?: Allowance,
): WarmUpRun => {
  const fleet = new Fleet(scenario, random);
  const {curve, timing} = scenario;
  let coldSinceMs = 0;
  let maxLoadRatio = 0;
  let ticksOverCapacity = 0;
  let fullAtMs = Infinity;
  let lastExcessMs = 0;
  const noticed = new Set<string>();
  for (let nowMs = 0; nowMs < scenario.lengthMs; nowMs += TICK_MS) {
    if (nowMs === scenario.coldAgainAtMs) {
      coldSinceMs = nowMs;
      fullAtMs = Infinity;
    }
    if (random() < TICK_MS / scenario.replaceEveryMs) {
      fleet.replaceRandomSender(nowMs);
    }
    const capacity = decisions.findWarmUpSlots(curve, nowMs - coldSinceMs);
    let inFlight = 0;
    for (const sender of fleet.senders) {
      sender.work = sender.work.filter(work => work.endsAtMs > nowMs);
      inFlight += sender.work.length;
    }
    let sent = 0;
    for (const sender of fleet.senders) {
      if (nowMs >= sender.noticesColdAtMs && !noticed.has(sender.id)) {
        noticed.add(sender.id);
        sender.grant = undefined;
        sender.nextAskMs = nowMs;
      }
      if (!allowance && nowMs >= sender.nextAskMs) {
        requestGrant(fleet, sender, nowMs);
      }
      const ranks = allowance ? fleet.findRanks(sender, nowMs) : [];
      const canStart = (): boolean =>
        allowance
          ? sender.work.length < allowance(sender, ranks, nowMs - coldSinceMs)
          : decisions.mayStartOnGrant(sender.grant, sender.work.length, nowMs);
      while (canStart()) {
        const drawn = seededRandom.drawExponential(random, scenario.workMs);
        const length = Math.max(TICK_MS, Math.min(drawn, timing.drainMs));
        sender.work.push({endsAtMs: nowMs + length});
        sent++;
      }
    }
    inFlight += sent;
    if (inFlight > capacity && sent > 0) {
      ticksOverCapacity++;
      lastExcessMs = nowMs + TICK_MS - coldSinceMs;
      maxLoadRatio = Math.max(maxLoadRatio, inFlight / capacity);
    }
    maxLoadRatio =
      sent > 0 ? Math.max(maxLoadRatio, inFlight / capacity) : maxLoadRatio;
    const isFull = inFlight >= FULL_USE_FRACTION * curve.fullSlots;
    const isSettled = nowMs > coldSinceMs + timing.drainMs;
    if (isFull && isSettled && fullAtMs === Infinity) {
      fullAtMs = nowMs - coldSinceMs;
    }
  }
  return {
    maxLoadRatio,
    ticksOverCapacity,
    fullAtMs,
    messages: fleet.messages,
    lastExcessMs,
  };
};
