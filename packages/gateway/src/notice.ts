/** An event that happens once, and those who wait for it. */

/**
 * A notice that is given once.
 *
 * Subscriptions can be taken back. Reactions to one promise that lives as long
 * as the process would pile up, one for each request.
 */
export class Notice {
  private readonly listeners = new Set<() => void>();
  private given = false;

  /** Whether it has been given. */
  get isGiven(): boolean {
    return this.given;
  }

  /** Gives the notice; later calls do nothing. */
  give(): void {
    if (this.given) {
      return;
    }
    this.given = true;
    const listeners = [...this.listeners];
    this.listeners.clear();
    listeners.forEach(listener => {
      listener();
    });
  }

  /** Calls `listener` once it is given; returns what takes that back. */
  subscribe(listener: () => void): () => void {
    if (this.given) {
      listener();
      return () => undefined;
    }
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves once it is given. */
  whenGiven(): Promise<void> {
    return new Promise(resolve => {
      this.subscribe(resolve);
    });
  }

  /** Resolves as `work` does, or to `undefined` if the notice comes first. */
  race<T>(work: Promise<T>): Promise<T | undefined> {
    return new Promise((resolve, reject) => {
      const unsubscribe = this.subscribe(() => {
        resolve(undefined);
      });
      work.then(resolve, reject).finally(unsubscribe);
    });
  }
}
