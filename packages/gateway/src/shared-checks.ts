/**
 * Shares one check of an upstream among all that wait for it. Free of I/O: the
 * check and the pause are passed in.
 */

interface Checks<T> {
  readonly running: Promise<T>;
  /** Begins when the running one has ended; undefined if nobody waits for it. */
  next: Promise<T> | undefined;
}

/**
 * Pause between two checks of an upstream, in milliseconds: it limits them to a
 * hundred a second, and delays an answer by less than a caller notices.
 */
const PAUSE_MS = 10;

/**
 * Runs at most one check of an upstream at a time.
 *
 * Guards against a flood of connections to an upstream at which many answers end
 * together. Who asks while a check runs waits for the next one: what the running
 * one shows may be older than what the new one is asked about.
 */
export class SharedChecks<T> {
  private readonly checks = new Map<string, Checks<T>>();

  constructor(private readonly sleep: (ms: number) => Promise<void>) {}

  /** Resolves to the result of a check that begins now or later. */
  run(key: string, check: () => Promise<T>): Promise<T> {
    const known = this.checks.get(key);
    if (!known) {
      return this.start(key, check);
    }
    known.next ??= known.running
      .then(
        () => this.sleep(PAUSE_MS),
        () => this.sleep(PAUSE_MS),
      )
      .then(() => this.start(key, check));
    return known.next;
  }

  private start(key: string, check: () => Promise<T>): Promise<T> {
    const running = check();
    const started: Checks<T> = {running, next: undefined};
    this.checks.set(key, started);
    const forget = () => {
      if (started.next === undefined) {
        this.checks.delete(key);
      }
    };
    // A failure is handled by those that asked for the check.
    void running.then(forget, forget);
    return running;
  }
}
