/**
 * The evidence about one part of prompts. Against it: upstreams that ended and
 * had not begun to answer a request with it. For it: answers that began. Pure.
 */

/** The end of one start of an upstream, as evidence against a part. */
export interface PartEnd {
  /** Names the upstream and its start. */
  readonly upstream: string;
  readonly atMs: number;
  /** When the last request with the part had been sent there. */
  readonly sentAtMs: number;
  /** Other upstreams, and their starts, that ended at the same moment. */
  readonly coincident: readonly string[];
}

/**
 * Time before an end in which an answer to a request with the part clears the
 * part, in milliseconds. Shared parts have one in most such times.
 */
export const PROOF_MS = 2_000;

/** Time after which an end is no evidence any more, in milliseconds: 6 h. */
export const END_TTL_MS = 21_600_000;

/**
 * Time within which ends may have a common cause other than a request, in
 * milliseconds: the loss of a rack, or of a zone.
 */
const COMMON_CAUSE_MS = 1_000;

/** Coincident ends that are kept with one. */
const MAX_COINCIDENT = 4;

/** Ends that are kept of each part. */
const MAX_ENDS = 8;

/**
 * Number of occasions on which upstreams ended.
 *
 * Guards against a part that is blamed for upstreams that were lost together: a
 * further end is an occasion of its own only if a request with the part was
 * sent there after the end before, or long after it.
 */
export const countOccasions = (ends: readonly PartEnd[]): number => {
  let count = 0;
  let lastMs = -Infinity;
  for (const {atMs, sentAtMs} of [...ends].sort((a, b) => a.atMs - b.atMs)) {
    if (sentAtMs > lastMs || atMs > lastMs + COMMON_CAUSE_MS) {
      count++;
      lastMs = atMs;
    }
  }
  return count;
};

/**
 * Ends that the part can explain: it explains those that coincide with them too.
 *
 * Guards against a part that is blamed where many upstreams were lost at once,
 * and that only one of them had not answered.
 */
export const findExplicable = (
  ends: readonly PartEnd[],
): readonly PartEnd[] => {
  const upstreams = new Set(ends.map(({upstream}) => upstream));
  return ends.filter(({coincident}) =>
    coincident.every(upstream => upstreams.has(upstream)),
  );
};

/** The evidence about one part. */
export class SuspectPart {
  private readonly endsByUpstream = new Map<string, PartEnd>();
  private provenMs = -Infinity;

  /** @param workspace the workspace whose request brought it here. */
  constructor(
    readonly id: string,
    readonly workspace: string,
  ) {}

  /** When an answer to a request with it last began; -Infinity if never. */
  get provenAtMs(): number {
    return this.provenMs;
  }

  /** Records an end; false if nothing of it is new, or it is no evidence. */
  recordEnd(end: PartEnd): boolean {
    if (end.atMs <= this.provenMs + PROOF_MS) {
      return false;
    }
    const known = this.endsByUpstream.get(end.upstream);
    if (known) {
      return this.addCoincident(known, end.coincident);
    }
    this.endsByUpstream.set(end.upstream, end);
    const [oldest] = this.endsByUpstream.keys();
    if (this.endsByUpstream.size > MAX_ENDS && oldest !== undefined) {
      this.endsByUpstream.delete(oldest);
    }
    return true;
  }

  private addCoincident(known: PartEnd, upstreams: readonly string[]): boolean {
    const isNew = upstreams.some(id => !known.coincident.includes(id));
    if (!isNew || known.coincident.length >= MAX_COINCIDENT) {
      return false;
    }
    const coincident = [...new Set([...known.coincident, ...upstreams])];
    this.endsByUpstream.set(known.upstream, {
      ...known,
      coincident: coincident.slice(0, MAX_COINCIDENT),
    });
    return true;
  }

  /** Records that an answer began; false if that changes nothing. */
  prove(atMs: number): boolean {
    if (atMs <= this.provenMs) {
      return false;
    }
    this.provenMs = atMs;
    const before = this.endsByUpstream.size;
    for (const [upstream, end] of this.endsByUpstream) {
      if (end.atMs <= atMs + PROOF_MS) {
        this.endsByUpstream.delete(upstream);
      }
    }
    return this.endsByUpstream.size < before;
  }

  /** Ends since the last answer that began. */
  findEnds(nowMs: number): readonly PartEnd[] {
    return [...this.endsByUpstream.values()].filter(
      ({atMs}) => nowMs - atMs <= END_TTL_MS,
    );
  }
}
