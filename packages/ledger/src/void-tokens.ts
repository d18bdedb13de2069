/** Owner tokens of attempts that sent nothing and never will. */

/**
 * How long a void token is remembered, in milliseconds: far longer than a
 * delayed write can stay under way, and than a caller keeps retrying.
 */
const VOID_RETENTION_MS = 600_000;

/** Time to the first look for a void token's claim, in milliseconds. */
const INITIAL_CHECK_DELAY_MS = 1_000;

interface VoidToken {
  readonly name: string;
  readonly sinceMs: number;
  checkAtMs: number;
}

/**
 * A bounded memory of void tokens. A token that falls out of it only costs
 * its caller an `unknown`: a claim is never taken over without its token here.
 */
export class VoidTokens {
  private readonly tokens = new Map<string, VoidToken>();

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.tokens.size;
  }

  has(owner: string): boolean {
    return this.tokens.has(owner);
  }

  /** Name of the object that the token's claim would have. */
  getName(owner: string): string | undefined {
    return this.tokens.get(owner)?.name;
  }

  add(owner: string, name: string, nowMs: number): void {
    const checkAtMs = nowMs + INITIAL_CHECK_DELAY_MS;
    this.tokens.set(owner, {name, sinceMs: nowMs, checkAtMs});
    for (const oldest of this.tokens.keys()) {
      if (this.tokens.size <= this.maxSize) {
        break;
      }
      this.tokens.delete(oldest);
    }
  }

  /**
   * Tokens to look for now, `limit` at most. The time between two looks at a
   * token doubles: about ten reads in all, and most of them early, when a
   * delayed write is likely.
   */
  takeDue(nowMs: number, limit: number): readonly string[] {
    this.expire(nowMs);
    const due = [...this.tokens]
      .filter(([, token]) => token.checkAtMs <= nowMs)
      .slice(0, limit);
    for (const [, token] of due) {
      token.checkAtMs =
        nowMs + Math.max(INITIAL_CHECK_DELAY_MS, nowMs - token.sinceMs);
    }
    return due.map(([owner]) => owner);
  }

  forget(owner: string): void {
    this.tokens.delete(owner);
  }

  private expire(nowMs: number): void {
    for (const [owner, token] of this.tokens) {
      if (nowMs - token.sinceMs >= VOID_RETENTION_MS) {
        this.tokens.delete(owner);
      }
    }
  }
}
