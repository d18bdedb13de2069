/** Owner tokens of attempts that sent nothing and never will. */

/**
 * How long a void token is remembered, in milliseconds: far longer than a
 * delayed write can stay under way, and than a caller keeps retrying.
 */
const VOID_RETENTION_MS = 600_000;

interface VoidToken {
  readonly name: string;
  readonly sinceMs: number;
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
  nameOf(owner: string): string | undefined {
    return this.tokens.get(owner)?.name;
  }

  add(owner: string, name: string, nowMs: number): void {
    this.tokens.set(owner, {name, sinceMs: nowMs});
    for (const oldest of this.tokens.keys()) {
      if (this.tokens.size <= this.maxSize) {
        break;
      }
      this.tokens.delete(oldest);
    }
  }

  /** The next `limit` tokens to look at, in turn. */
  next(limit: number): readonly string[] {
    const owners = [...this.tokens.keys()].slice(0, limit);
    for (const owner of owners) {
      this.moveToEnd(owner);
    }
    return owners;
  }

  forget(owner: string): void {
    this.tokens.delete(owner);
  }

  forgetOld(nowMs: number): void {
    for (const [owner, token] of this.tokens) {
      if (nowMs - token.sinceMs >= VOID_RETENTION_MS) {
        this.tokens.delete(owner);
      }
    }
  }

  private moveToEnd(owner: string): void {
    const token = this.tokens.get(owner);
    if (token) {
      this.tokens.delete(owner);
      this.tokens.set(owner, token);
    }
  }
}
