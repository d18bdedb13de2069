/**
 * Multi-probe consistent hashing: each member has one point on the ring, and
 * each key is looked up at several points. The members that follow these points
 * most closely are the key's choices. A member that joins or leaves moves only
 * the keys next to it.
 */
import * as rendezvous from './rendezvous.js';

/** Probes per key; 8 keep the largest share below twice the mean. */
const PROBES_PER_KEY = 8;

const RING_SIZE = 2 ** 32;

/** Immutable ring of members; build a new one when members change. */
export class HashRing {
  private readonly points: Float64Array;
  private readonly indexes: Uint32Array;
  /** First position in each arc; there are as many equal arcs as members. */
  private readonly arcs: Uint32Array;

  /** @param ids members; `lookUp` returns indexes into this array. */
  constructor(ids: readonly string[]) {
    const placed = ids.map((id, index) => ({
      point: rendezvous.hashText(id),
      index,
    }));
    placed.sort((a, b) => a.point - b.point || a.index - b.index);
    this.points = Float64Array.from(placed, entry => entry.point);
    this.indexes = Uint32Array.from(placed, entry => entry.index);
    let position = 0;
    this.arcs = Uint32Array.from(placed, (_, arc) => {
      position = this.findFrom(position, (arc * RING_SIZE) / placed.length);
      return position;
    });
  }

  /** Indexes of the members chosen for a key, first choice first. */
  lookUp(key: string): readonly number[] {
    if (this.points.length === 0) {
      return [];
    }
    const hash = rendezvous.hashText(key);
    const found: number[] = [];
    const distances: number[] = [];
    for (let probe = 1; probe <= PROBES_PER_KEY; probe++) {
      const point = rendezvous.mixHashes(hash, probe);
      const position = this.search(point) % this.points.length;
      const distance = (this.points[position] ?? 0) - point;
      const index = this.indexes[position] ?? 0;
      const clockwise = distance < 0 ? distance + RING_SIZE : distance;
      insertByDistance(found, distances, index, clockwise);
    }
    return found;
  }

  /**
   * First position whose point is not before `point`. Points are spread evenly,
   * so an arc holds about one, however many members there are, and the search
   * takes constant time on average.
   */
  private search(point: number): number {
    const arc = Math.floor((point / RING_SIZE) * this.arcs.length);
    return this.findFrom(this.arcs[arc] ?? 0, point);
  }

  private findFrom(start: number, point: number): number {
    let position = start;
    while ((this.points[position] ?? Infinity) < point) {
      position++;
    }
    return position;
  }
}

/** Inserts a member in order of distance; keeps its shortest distance. */
const insertByDistance = (
  found: number[],
  distances: number[],
  index: number,
  distance: number,
): void => {
  const known = found.indexOf(index);
  if (known >= 0) {
    if ((distances[known] ?? 0) <= distance) {
      return;
    }
    found.splice(known, 1);
    distances.splice(known, 1);
  }
  let position = found.length;
  while (position > 0 && (distances[position - 1] ?? 0) > distance) {
    position--;
  }
  found.splice(position, 0, index);
  distances.splice(position, 0, distance);
};
