/** Counts calls to the object API by second and kind. */
import type * as fakes from '@amaranthknot/fakes';
import type * as ports from '@amaranthknot/ports';

/** Reads, writes, or waits for changes. */
export type CallKind = 'read' | 'write' | 'watch';

/** Calls in one second, by `<kind of call>_<kind of object>`. */
export type SecondOfCalls = Readonly<Record<string, number>>;

const classifyOperation = (operation: fakes.StoreOperation): CallKind => {
  switch (operation) {
    case 'get':
    case 'list':
      return 'read';
    case 'create':
    case 'update':
    case 'delete':
      return 'write';
    case 'watch':
      return 'watch';
  }
};

/** Counts calls in the second in which they are made. */
export class CallCounter {
  private readonly seconds = new Map<number, Record<string, number>>();

  constructor(private readonly clock: ports.Clock) {}

  /** Adds one call to the current second. */
  record(operation: fakes.StoreOperation, kind: string): void {
    const second = Math.floor(this.clock.now() / 1_000);
    const calls = this.seconds.get(second) ?? {};
    const name = `${classifyOperation(operation)}_${kind}`;
    calls[name] = (calls[name] ?? 0) + 1;
    this.seconds.set(second, calls);
  }

  /** Counts of each second from `fromMs` up to, but not including, `toMs`. */
  countsBetween(fromMs: number, toMs: number): readonly SecondOfCalls[] {
    const from = Math.floor(fromMs / 1_000);
    const length = Math.floor(toMs / 1_000) - from;
    return Array.from(
      {length},
      (_, index) => this.seconds.get(from + index) ?? {},
    );
  }
}

/** Total calls in a second. */
export const sumSecond = (second: SecondOfCalls): number =>
  Object.values(second).reduce((sum, calls) => sum + calls, 0);

/** Mean calls per second by kind, sorted by name. */
export const meanByKind = (
  seconds: readonly SecondOfCalls[],
): readonly (readonly [string, number])[] => {
  const names = new Set(seconds.flatMap(second => Object.keys(second)));
  return [...names].sort().map(name => {
    const total = seconds.reduce((sum, each) => sum + (each[name] ?? 0), 0);
    return [name, total / Math.max(1, seconds.length)] as const;
  });
};
