/**
 * Median time to the first byte by kind of work, over recent requests.
 *
 * Load: versions that are judged by the latency of their answers while some
 * upstreams hang or a zone has lost power. Harm prevented: a few answers that
 * took many seconds raise a mean for the next hundred answers, and a version
 * that is slow for half of its requests then looks normal. A median moves only
 * if half of the samples are outliers.
 */

/** Samples kept per kind; about as many as an instance gets in a minute. */
const MAX_SAMPLES = 48;

/** Minimum samples of a kind for a meaningful median. */
const MIN_SAMPLES = 4;

/** Maximum number of kinds; the least recently recorded is evicted. */
const MAX_KINDS = 256;

/** Median latencies measured by one instance. */
export class MedianLatencies {
  /** Latest samples by kind, in milliseconds, oldest first. */
  private readonly byKind = new Map<string, number[]>();

  /** Records a latency, in milliseconds, of a kind of work. */
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

  /** Median of a kind, in ms; undefined while it has too few samples. */
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
