/**
 * When an answer to a request with a part of prompts last began, in bounded
 * memory: callers choose the ids of parts. Pure.
 */

/** Parts that are remembered. */
const MAX_PARTS = 4_096;

/** The last answers by part. */
export class LastAnswers {
  /** The part that was answered longest ago is first. */
  private readonly atMsByPart = new Map<string, number>();

  /** Records that an answer to a request with the part began. */
  record(part: string, nowMs: number): void {
    this.atMsByPart.delete(part);
    this.atMsByPart.set(part, nowMs);
    const [oldest] = this.atMsByPart.keys();
    if (this.atMsByPart.size > MAX_PARTS && oldest !== undefined) {
      this.atMsByPart.delete(oldest);
    }
  }

  /** When the last answer began; -Infinity if it is not known. */
  find(part: string): number {
    return this.atMsByPart.get(part) ?? -Infinity;
  }
}
