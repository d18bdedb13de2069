/**
 * A cold upstream and the entry instances that want to use it: their views of
 * each other differ, answers get lost, instances are replaced. Time goes on
 * in ticks.
 */
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';

/** What a run goes through. */
export interface WarmUpScenario {
  readonly instances: number;
  readonly curve: decisions.WarmUpCurve;
  readonly timing: decisions.WarmUpTiming;
  /** Mean length of one piece of work, in milliseconds. */
  readonly workMs: number;
  /** Mean time between replaced instances, in milliseconds. */
  readonly replaceEveryMs: number;
  /** Longest lag of an instance's view, in milliseconds. */
  readonly viewLagMs: number;
  /** Share of messages between instances that are lost. */
  readonly lost: number;
  /** When the upstream turns cold again; undefined for never. */
  readonly coldAgainAtMs?: number;
  /** Longest time until an instance notices by itself, in milliseconds. */
  readonly noticeMs?: number;
  readonly lengthMs: number;
}

/** What came of a run. */
export interface WarmUpRun {
  /** Highest work in progress, as a ratio to what the upstream bears. */
  readonly highestRatio: number;
  /** Ticks in which the bound was exceeded by newly sent work. */
  readonly ticksAbove: number;
  /** When the work in progress first reached nine tenths of full use. */
  readonly fullAtMs: number;
  /** Messages to issuers. */
  readonly messages: number;
  /** From cold again to the last work sent above the bound. */
  readonly cutMs: number;
}

/** Length of a tick, in milliseconds. */
export const TICK_MS = 100;
const FULL_USE = 0.9;
const UPSTREAM = 'upstream-a';

interface Work {
  readonly endsAtMs: number;
}

/** An entry instance of the model. */
export interface Sender {
  readonly id: string;
  readonly bornAtMs: number;
  work: Work[];
  grant: decisions.HeldGrant | undefined;
  nextAskMs: number;
  /** When it notices that the upstream is cold again. */
  noticesAtMs: number;
  /** Issuer state, if it ever believed itself first. */
  issuer: decisions.WarmUpIssuer | undefined;
}

interface Change {
  readonly atMs: number;
  readonly gone: string;
  readonly come: string;
}

/** Slots that a sender may use now; the policy under test. */
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

  replaceOne(nowMs: number): void {
    const index = Math.floor(this.random() * this.senders.length);
    const gone = this.senders[index];
    const come = this.createSender(`entry-${this.nextId++}`, nowMs);
    if (gone) {
      this.senders[index] = come;
      this.changes.push({atMs: nowMs, gone: gone.id, come: come.id});
    }
  }

  /** Ids that a sender believes to be live: changes reach it late. */
  findView(sender: Sender, nowMs: number): readonly string[] {
    const ids = new Set(this.senders.map(other => other.id));
    for (const change of this.changes.slice(this.countSeen(sender, nowMs))) {
      ids.delete(change.come);
      ids.add(change.gone);
    }
    return [...ids.add(sender.id)];
  }

  /** The first ranks in a sender's view; ranked once for each view. */
  findRanks(sender: Sender, nowMs: number): readonly string[] {
    const seen = this.countSeen(sender, nowMs);
    const isNew = sender.bornAtMs > nowMs - (this.lags.get(sender.id) ?? 0);
    const key = isNew ? `${seen}/${sender.id}` : String(seen);
    const known = this.ranks.get(key);
    // Whoever has gone unseen meanwhile is in the view as before.
    if (known) {
      return known;
    }
    const view = this.findView(sender, nowMs);
    const {fullSlots} = this.scenario.curve;
    const ranks = decisions.rankByRendezvous(UPSTREAM, view, fullSlots);
    this.ranks.set(key, ranks);
    return ranks;
  }

  /** Whoever starts after the upstream turned cold learns it at once. */
  private drawNotice(bornAtMs: number): number {
    const {coldAgainAtMs = Infinity, noticeMs = 0} = this.scenario;
    const delay = bornAtMs > coldAgainAtMs ? 0 : this.random() * noticeMs;
    return coldAgainAtMs + delay;
  }

  /** Changes seen so far; they are seen in order. */
  private countSeen(sender: Sender, nowMs: number): number {
    const until = nowMs - (this.lags.get(sender.id) ?? 0);
    const unseen = this.changes.findIndex(change => change.atMs > until);
    return unseen < 0 ? this.changes.length : unseen;
  }

  private createSender(id: string, bornAtMs: number): Sender {
    this.lags.set(id, this.random() * this.scenario.viewLagMs);
    return {
      id,
      bornAtMs,
      work: [],
      grant: undefined,
      nextAskMs: this.random() * this.scenario.timing.termMs,
      noticesAtMs: this.drawNotice(bornAtMs),
      issuer: undefined,
    };
  }
}

const ask = (fleet: Fleet, sender: Sender, nowMs: number): void => {
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
  // Who asks says that the upstream is cold, if it has noticed.
  if (nowMs >= sender.noticesAtMs) {
    issuer.noticesAtMs = Math.min(issuer.noticesAtMs, nowMs);
  }
  const {coldAgainAtMs = 0} = fleet.scenario;
  const coldSinceMs = nowMs >= issuer.noticesAtMs ? coldAgainAtMs : 0;
  // The first rank is the same among the first ranks as among all.
  const membership = {
    instances: fleet.findRanks(issuer, nowMs),
    confirmedAtMs: nowMs,
    memberSinceMs: issuer.bornAtMs,
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

/** Runs senders that take what `allowance` gives, or grants without one. */
export const runWarmUp = (
  scenario: WarmUpScenario,
  random: () => number,
  allowance?: Allowance,
): WarmUpRun => {
  const fleet = new Fleet(scenario, random);
  const {curve, timing} = scenario;
  let coldSinceMs = 0;
  let highestRatio = 0;
  let ticksAbove = 0;
  let fullAtMs = Infinity;
  let cutMs = 0;
  const noticed = new Set<string>();
  for (let nowMs = 0; nowMs < scenario.lengthMs; nowMs += TICK_MS) {
    if (nowMs === scenario.coldAgainAtMs) {
      coldSinceMs = nowMs;
      fullAtMs = Infinity;
    }
    if (random() < TICK_MS / scenario.replaceEveryMs) {
      fleet.replaceOne(nowMs);
    }
    const bearable = decisions.findWarmUpSlots(curve, nowMs - coldSinceMs);
    let inFlight = 0;
    for (const sender of fleet.senders) {
      sender.work = sender.work.filter(work => work.endsAtMs > nowMs);
      inFlight += sender.work.length;
    }
    let sent = 0;
    for (const sender of fleet.senders) {
      if (nowMs >= sender.noticesAtMs && !noticed.has(sender.id)) {
        noticed.add(sender.id);
        sender.grant = undefined;
        sender.nextAskMs = nowMs;
      }
      if (!allowance && nowMs >= sender.nextAskMs) {
        ask(fleet, sender, nowMs);
      }
      const ranks = allowance ? fleet.findRanks(sender, nowMs) : [];
      const may = (): boolean =>
        allowance
          ? sender.work.length < allowance(sender, ranks, nowMs - coldSinceMs)
          : decisions.mayStartOnGrant(sender.grant, sender.work.length, nowMs);
      while (may()) {
        const drawn = seededRandom.drawExponential(random, scenario.workMs);
        const length = Math.max(TICK_MS, Math.min(drawn, timing.drainMs));
        sender.work.push({endsAtMs: nowMs + length});
        sent++;
      }
    }
    inFlight += sent;
    if (inFlight > bearable && sent > 0) {
      ticksAbove++;
      cutMs = nowMs + TICK_MS - coldSinceMs;
      highestRatio = Math.max(highestRatio, inFlight / bearable);
    }
    highestRatio =
      sent > 0 ? Math.max(highestRatio, inFlight / bearable) : highestRatio;
    const isFull = inFlight >= FULL_USE * curve.fullSlots;
    const isSettled = nowMs > coldSinceMs + timing.drainMs;
    if (isFull && isSettled && fullAtMs === Infinity) {
      fullAtMs = nowMs - coldSinceMs;
    }
  }
  return {highestRatio, ticksAbove, fullAtMs, messages: fleet.messages, cutMs};
};
