/**
 * What first bytes usually take, by kind of work, as medians of recent ones.
 *
 * Load: versions that are judged by how slow their answers are, on days when
 * upstreams hang or a zone has no power. Harm prevented: a few answers that
 * took many seconds raise a mean for a hundred answers; a version that is slow
 * for half of its requests then passes for usual. Half of the samples would
 * have to be odd to move a median.
 */

/** Samples kept of a kind; a service's instance sees as many in a minute. */
const MAX_SAMPLES = 48;

/** Samples of a kind from which its median tells something. */
const MIN_SAMPLES = 4;

/** Kinds remembered; the one unused for longest is forgotten first. */
const MAX_KINDS = 256;

/** Medians of one instance. */
export class MedianLatencies {
  /** Latest samples by kind, in milliseconds, oldest first. */
  private readonly byKind = new Map<string, number[]>();

  /** Notes a latency, in milliseconds, of a kind of work. */
  record(kind: string, latencyMs: number): void {
    const samples = this.byKind.get(kind) ?? [];
    samples.push(latencyMs);
    if (samples.length > MAX_SAMPLES) {
      samples.shift();
    }
    this.byKind.delete(kind);
    this.byKind.set(kind, samples);
    this.evictOldest();
  }

  /** Median of a kind in milliseconds; undefined while too few are known. */
  medianMs(kind: string): number | undefined {
    const samples = this.byKind.get(kind) ?? [];
    if (samples.length < MIN_SAMPLES) {
      return undefined;
    }
    const sorted = [...samples].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
  }

  private evictOldest(): void {
    if (this.byKind.size > MAX_KINDS) {
      const [oldest] = this.byKind.keys();
      this.byKind.delete(oldest ?? '');
    }
  }
}
