/**
 * Finds the line of each key of a TOML text, so that problems can name it; the
 * TOML parser returns values without positions. The text must be valid TOML.
 * The scanner doesn't check it, and stops without an error where it can't
 * continue.
 */
import * as problems from '../problem.js';

/** Line numbers, from 1, by formatted key path. */
export type LineIndex = ReadonlyMap<string, number>;

const SCALAR_END = new Set([',', ']', '}', '\n', '#']);
const KEY_END = new Set(['=', '.', ']', ' ', '\t', '\n']);

class Scanner {
  readonly lines = new Map<string, number>();
  /** Number of elements seen so far, by array of tables. */
  private readonly counts = new Map<string, number>();
  private position = 0;
  private line = 1;

  constructor(private readonly text: string) {}

  scan(): void {
    let table: problems.KeyPath = [];
    this.skipBlank();
    while (this.position < this.text.length) {
      const start = this.position;
      if (this.peek() === '[') {
        table = this.scanHeader();
      } else {
        this.scanPair(table);
      }
      this.skipBlank();
      if (this.position === start) {
        return;
      }
    }
  }

  private scanHeader(): problems.KeyPath {
    const line = this.line;
    const isArray = this.text.startsWith('[[', this.position);
    this.advance(isArray ? 2 : 1);
    const keys = this.scanKeys();
    this.advance(isArray ? 2 : 1);
    const parent = this.resolve(keys.slice(0, -1));
    const own = [...parent, ...keys.slice(-1)];
    this.record(own, line);
    if (!isArray) {
      return this.resolveLast(own);
    }
    const name = problems.formatKey(own);
    const index = this.counts.get(name) ?? 0;
    this.counts.set(name, index + 1);
    const element = [...own, index];
    this.record(element, line);
    return element;
  }

  private resolve(keys: readonly string[]): problems.KeyPath {
    return keys.reduce<problems.KeyPath>(
      (path, key) => this.resolveLast([...path, key]),
      [],
    );
  }

  /** Resolves an array of tables to its last element, which later keys extend. */
  private resolveLast(path: problems.KeyPath): problems.KeyPath {
    const count = this.counts.get(problems.formatKey(path));
    return count === undefined ? path : [...path, count - 1];
  }

  private scanPair(table: problems.KeyPath): void {
    const line = this.line;
    const path = [...table, ...this.scanKeys()];
    this.record(path, line);
    this.skipSpaces();
    this.advance(1);
    this.skipSpaces();
    this.scanValue(path);
  }

  private scanKeys(): readonly string[] {
    const keys: string[] = [];
    for (;;) {
      this.skipSpaces();
      keys.push(this.scanKey());
      this.skipSpaces();
      if (this.peek() !== '.') {
        return keys;
      }
      this.advance(1);
    }
  }

  private scanKey(): string {
    const quote = this.peek();
    if (quote !== '"' && quote !== "'") {
      return this.takeUntil(KEY_END);
    }
    const raw = this.scanString();
    return quote === '"' ? unescapeKey(raw) : raw.slice(1, -1);
  }

  private scanValue(path: problems.KeyPath): void {
    switch (this.peek()) {
      case '"':
      case "'":
        this.scanString();
        return;
      case '[':
        this.scanArray(path);
        return;
      case '{':
        this.scanInlineTable(path);
        return;
      default:
        this.takeUntil(SCALAR_END);
    }
  }

  private scanArray(path: problems.KeyPath): void {
    this.advance(1);
    for (let index = 0; this.skipToItem(']'); index++) {
      const start = this.position;
      this.record([...path, index], this.line);
      this.scanValue([...path, index]);
      if (this.position === start) {
        return;
      }
    }
  }

  private scanInlineTable(path: problems.KeyPath): void {
    this.advance(1);
    while (this.skipToItem('}')) {
      const start = this.position;
      this.scanPair(path);
      if (this.position === start) {
        return;
      }
    }
  }

  /** Moves to the next item; false if the closing bracket was consumed. */
  private skipToItem(close: string): boolean {
    this.skipBlank();
    if (this.peek() === ',') {
      this.advance(1);
      this.skipBlank();
    }
    if (this.peek() === close) {
      this.advance(1);
      return false;
    }
    return this.position < this.text.length;
  }

  /** Consumes a string of any of the four TOML kinds, with its quotes. */
  private scanString(): string {
    const start = this.position;
    const quote = this.peek();
    const triple = quote.repeat(3);
    const isLong = this.text.startsWith(triple, start);
    const end = isLong ? triple : quote;
    this.advance(end.length);
    while (
      this.position < this.text.length &&
      !this.text.startsWith(end, this.position)
    ) {
      this.advance(quote === '"' && this.peek() === '\\' ? 2 : 1);
    }
    this.advance(end.length);
    // The content of a multi-line string may end in up to two quotes.
    while (isLong && this.peek() === quote) {
      this.advance(1);
    }
    return this.text.slice(start, this.position);
  }

  private takeUntil(ends: ReadonlySet<string>): string {
    const start = this.position;
    while (this.position < this.text.length && !ends.has(this.peek())) {
      this.advance(1);
    }
    return this.text.slice(start, this.position).trim();
  }

  private skipSpaces(): void {
    while (this.peek() === ' ' || this.peek() === '\t') {
      this.advance(1);
    }
  }

  private skipBlank(): void {
    while (this.position < this.text.length) {
      if (this.peek() === '#') {
        this.takeUntil(new Set(['\n']));
      } else if (/\s/.test(this.peek())) {
        this.advance(1);
      } else {
        return;
      }
    }
  }

  private peek(): string {
    return this.text.charAt(this.position);
  }

  private advance(count: number): void {
    const end = Math.min(this.position + count, this.text.length);
    for (; this.position < end; this.position++) {
      if (this.peek() === '\n') {
        this.line++;
      }
    }
  }

  /** Records the line of a path and its parents, unless recorded before. */
  private record(path: problems.KeyPath, line: number): void {
    for (let length = path.length; length > 0; length--) {
      const key = problems.formatKey(path.slice(0, length));
      if (this.lines.has(key)) {
        return;
      }
      this.lines.set(key, line);
    }
  }
}

const unescapeKey = (raw: string): string => {
  try {
    return String(JSON.parse(raw));
  } catch {
    return raw.slice(1, -1);
  }
};

/** Returns the lines of all keys of a valid TOML text. */
export const indexLines = (text: string): LineIndex => {
  const scanner = new Scanner(text);
  scanner.scan();
  return scanner.lines;
};

/** Returns the line of a path or else of its closest recorded parent. */
export const findLine = (
  lines: LineIndex,
  path: problems.KeyPath,
): number | undefined => {
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(problems.formatKey(path.slice(0, length)));
    if (line !== undefined) {
      return line;
    }
  }
  return undefined;
};
