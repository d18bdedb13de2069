/** Remembers owner tokens of attempts that sent nothing and never will. */

/**
 * How long a void token is remembered, in milliseconds: far longer than a write
 * can be delayed, and longer than callers retry.
 */
const VOID_RETENTION_MS = 600_000;

/** Delay before the first check for a void token's claim, in milliseconds. */
const INITIAL_CHECK_DELAY_MS = 1_000;

interface VoidToken {
  readonly name: string;
  readonly sinceMs: number;
  checkAtMs: number;
}

/**
 * A bounded set of void tokens; the oldest are evicted. Eviction is safe: a
 * claim is taken over only while its token is in the set, so that the caller of
 * an evicted token gets `unknown`.
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

  /** Name of the object that the token's claim has, if it exists. */
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
   * Tokens to check now, at most `limit`. The interval between two checks of a
   * token doubles: about ten reads in total, most of them early, when a delayed
   * write is likely.
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
