/**
 * Copies of pending bills during a day of failures and restarts. Compares
 * replicas that are kept while they are alive with replicas that always follow
 * the ranking of peers.
 */
import * as ledger from '@amaranthknot/ledger';
import type * as figures from '../figure.js';
import * as seededRandom from '@amaranthknot/fakes';

const INSTANCES = 1_000;
const ZONES = 9;
const FAILURES_A_DAY = 87;
const RESTARTS_A_DAY = 1_200;
const DAY_MS = 86_400_000;
/** Time until a new instance takes the place of one that left. */
const REPLACEMENT_DELAY_MS = 60_000;
const QUORUM = ledger.DEFAULT_BILL_LIMITS.copyQuorum;
const BILLS_A_SECOND = 15;
/** Mean number of pending bills: those of half a flush interval. */
const PENDING =
  (BILLS_A_SECOND * ledger.DEFAULT_BILL_LIMITS.flushIntervalMs) / 1_000 / 2;

/** A place in the fleet; successive instances in it have the same rank. */
interface Place {
  readonly zone: string;
  incarnation: number;
  live: boolean;
  replicas: readonly string[];
}

/** For each owner the places in other zones, best first. */
type Ranking = readonly (readonly number[])[];

/** Places ranked for each owner; far more than are ever needed. */
const RANKED_PLACES = 24;

/** Rendezvous hash of an owner and a place; the lowest is the best. */
const score = (owner: number, place: number): number => {
  const pair =
    Math.imul(owner + 1, 0x9e3779b1) ^ Math.imul(place + 1, 0x85ebca6b);
  const mixed = Math.imul(pair ^ (pair >>> 15), 0x2c1b3c6d);
  const hash = Math.imul(mixed ^ (mixed >>> 12), 0x297a2d39);
  return (hash ^ (hash >>> 15)) >>> 0;
};

const rankFor = (owner: number): readonly number[] =>
  Array.from({length: INSTANCES}, (_, place) => place)
    .filter(place => place % ZONES !== owner % ZONES)
    .map(place => ({place, score: score(owner, place)}))
    .sort((a, b) => a.score - b.score)
    .slice(0, RANKED_PLACES)
    .map(entry => entry.place);

const rankAll = (): Ranking =>
  Array.from({length: INSTANCES}, (_, owner) => rankFor(owner));

class Fleet {
  changes = 0;
  /** New replicas; each is sent all pending bills of one owner. */
  recopies = 0;
  private readonly places: readonly Place[];

  constructor(
    private readonly ranking: Ranking,
    private readonly choose: ledger.ReplicaSelector,
  ) {
    this.places = ranking.map((_, i) => ({
      zone: `zone-${i % ZONES}`,
      incarnation: 0,
      live: true,
      replicas: [],
    }));
    this.places.forEach((place, owner) => this.update(place, owner));
    this.recopies = 0;
  }

  /** Removes an instance that fails, or that restarts with its bills written. */
  leave(index: number): void {
    const place = this.places[index];
    if (place?.live) {
      place.live = false;
      place.replicas = [];
      this.change(index);
    }
  }

  /** Fills a place with a new instance; its own first replicas don't count. */
  join(index: number): void {
    const place = this.places[index];
    if (place && !place.live) {
      place.live = true;
      place.incarnation++;
      const before = this.recopies;
      this.update(place, index);
      this.recopies = before;
      this.change(index);
    }
  }

  private change(index: number): void {
    this.changes++;
    this.places.forEach((place, owner) => {
      if (place.live && this.ranking[owner]?.includes(index)) {
        this.update(place, owner);
      }
    });
  }

  private update(place: Place, owner: number): void {
    const candidates = this.candidates(owner);
    const chosen = this.choose(place.replicas, candidates, QUORUM);
    const added = chosen.filter(id => !place.replicas.includes(id));
    this.recopies += added.length;
    place.replicas = chosen;
  }

  private candidates(owner: number): readonly ledger.ReplicaCandidate[] {
    return (this.ranking[owner] ?? []).flatMap(i => {
      const place = this.places[i];
      return place?.live
        ? [{id: `${i}.${place.incarnation}`, zone: place.zone}]
        : [];
    });
  }
}

interface Change {
  readonly atMs: number;
  readonly place: number;
  readonly joins: boolean;
}

/** Draws the failures and restarts of one day. */
const drawChanges = (random: () => number): readonly Change[] => {
  const meanMs = DAY_MS / (FAILURES_A_DAY + RESTARTS_A_DAY);
  const changes: Change[] = [];
  let atMs = seededRandom.drawExponential(random, meanMs);
  while (atMs < DAY_MS) {
    const place = Math.floor(random() * INSTANCES);
    changes.push({atMs, place, joins: false});
    changes.push({atMs: atMs + REPLACEMENT_DELAY_MS, place, joins: true});
    atMs += seededRandom.drawExponential(random, meanMs);
  }
  return changes.sort((a, b) => a.atMs - b.atMs);
};

const runFleet = (
  ranking: Ranking,
  changes: readonly Change[],
  choose: ledger.ReplicaSelector,
): Fleet => {
  const fleet = new Fleet(ranking, choose);
  for (const {place, joins} of changes) {
    if (joins) {
      fleet.join(place);
    } else {
      fleet.leave(place);
    }
  }
  return fleet;
};

/** Size of a copied bill in a JSON message, in bytes. */
const measureBillBytes = (): number => {
  const lane = ledger.nameLane(1_700_000_000_000, 'instance-0123-4567ab', 99);
  const bill: ledger.Bill = {
    identity: ledger.identifyRequest('rosters-north', 'key', '').name,
    workspace: 'rosters-north',
    model: 'capable',
    version: '2026-11-30',
    cost: 0.0125,
    tokens: 260,
    atWallMs: 1_700_000_000_000,
  };
  return Buffer.byteLength(JSON.stringify({lane, bill}));
};

const reportFigures = (
  sticky: Fleet,
  ranked: Fleet,
): readonly figures.Figure[] => {
  const bytes = measureBillBytes();
  const toRate = (recopies: number) =>
    (recopies * PENDING * bytes) / (DAY_MS / 1_000) / INSTANCES;
  return [
    {
      figure: 'membership_changes_a_day',
      value: sticky.changes,
      unit: 'changes',
    },
    {
      figure: 'replicas_filled_anew_a_day',
      value: sticky.recopies,
      baseline: ranked.recopies,
      unit: 'replicas',
    },
    {
      figure: 'bills_copied_anew_a_day',
      value: sticky.recopies * PENDING,
      baseline: ranked.recopies * PENDING,
      unit: 'bills',
    },
    {
      figure: 'bytes_copied_anew_per_node',
      value: toRate(sticky.recopies),
      baseline: toRate(ranked.recopies),
      unit: 'bytes/s',
    },
    {figure: 'bytes_per_copied_bill', value: bytes, unit: 'bytes'},
    {
      figure: 'bytes_of_first_copies_per_node',
      value: BILLS_A_SECOND * bytes * QUORUM,
      unit: 'bytes/s',
      target: 4_000,
      direction: 'at_most',
    },
  ];
};

/** Runs both ways of replica selection through the same day. */
export const bench: figures.Bench = {
  summary: 'copies of pending bills made by failures and restarts of a day',
  run: seed => {
    const changes = drawChanges(seededRandom.createRandom(seed));
    const ranking = rankAll();
    const sticky = runFleet(ranking, changes, ledger.selectStickyReplicas);
    const ranked = runFleet(ranking, changes, ledger.selectRankedReplicas);
    return Promise.resolve(reportFigures(sticky, ranked));
  },
};
