/**
 * Consistent hashing with several probes: one point for each member, several
 * looks for each key. Members near the probes, nearest first, are the key's
 * choices; a member that joins or leaves moves only keys next to it.
 */
import * as rendezvous from './rendezvous.js';

/** Looks for each key; 8 keep the largest share under twice the mean. */
const PROBES_PER_KEY = 8;

const RING_SIZE = 2 ** 32;

/** Where members lie on the ring. Built once, when members change. */
export class HashRing {
  private readonly points: Float64Array;
  private readonly indexes: Uint32Array;
  /** First position in each of as many equal arcs as there are members. */
  private readonly arcs: Uint32Array;

  /** @param ids members; `lookUp` answers with indexes into them. */
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
      const onwards = distance < 0 ? distance + RING_SIZE : distance;
      insertByDistance(found, distances, index, onwards);
    }
    return found;
  }

  /**
   * First position whose point is not before `point`. Points are spread evenly,
   * so that an arc holds about one, however many members there are.
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

/** Keeps members in order of distance, each at its shortest. */
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
  let place = found.length;
  while (place > 0 && (distances[place - 1] ?? 0) > distance) {
    place--;
  }
  found.splice(place, 0, index);
  distances.splice(place, 0, distance);
};
