/**
 * Consistent hashing with several probes: one point for each member, several
 * looks for each key. Members near the probes, nearest first, are the key's
 * choices; a member that joins or leaves moves only keys next to it.
 */
import * as rendezvous from './rendezvous.js';

/** Looks for each key; 8 keep the largest share under twice the mean. */
const PROBES = 8;

const RING_SIZE = 2 ** 32;

interface Hit {
  readonly index: number;
  readonly distance: number;
}

/** Where members lie on the ring. Built once, when members change. */
export class HashRing {
  private readonly points: Float64Array;
  private readonly indexes: Uint32Array;

  /** @param ids members; `lookUp` answers with indexes into them. */
  constructor(ids: readonly string[]) {
    const placed = ids.map((id, index) => ({
      point: rendezvous.hashText(id),
      index,
    }));
    placed.sort((a, b) => a.point - b.point || a.index - b.index);
    this.points = Float64Array.from(placed, entry => entry.point);
    this.indexes = Uint32Array.from(placed, entry => entry.index);
  }

  /** Indexes of the members chosen for a key, first choice first. */
  lookUp(key: string): readonly number[] {
    if (this.points.length === 0) {
      return [];
    }
    const hash = rendezvous.hashText(key);
    const hits: Hit[] = [];
    for (let probe = 0; probe < PROBES; probe++) {
      hits.push(this.probe(rendezvous.mixHashes(hash, probe + 1)));
    }
    hits.sort((a, b) => a.distance - b.distance);
    return [...new Set(hits.map(hit => hit.index))];
  }

  private probe(point: number): Hit {
    const found = this.search(point);
    const position = found === this.points.length ? 0 : found;
    const distance = (this.points[position] ?? 0) - point;
    return {
      index: this.indexes[position] ?? 0,
      distance: distance < 0 ? distance + RING_SIZE : distance,
    };
  }

  /** First position whose point is not before `point`. */
  private search(point: number): number {
    let low = 0;
    let high = this.points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.points[middle] ?? 0) < point) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
