/**
 * Pins versions to sessions for which callers send an id of their own instead
 * of a session token. The first instance that sees such a session creates an
 * object with its version; all others read it.
 */
import * as crypto from 'node:crypto';
import * as lruCache from 'lru-cache';
import type * as ports from '@amaranthknot/ports';

/** Kind of pin objects in the object API. */
export const PIN_KIND = 'session_pin';

/** Maximum number of pins cached by one instance; they take about 10 MB. */
const MAX_CACHED_PINS = 50_000;

const nameOf = (workspace: string, sessionId: string, model: string): string =>
  crypto
    .createHash('sha256')
    .update(JSON.stringify([workspace, sessionId, model]))
    .digest('hex');

const readVersion = (value: unknown): string | undefined => {
  const {version} = (value ?? {}) as {version?: unknown};
  return typeof version === 'string' ? version : undefined;
};

/** Creates and reads pins, with a cache. */
export class PinRegistry {
  private readonly cache = new lruCache.LRUCache<string, string>({
    max: MAX_CACHED_PINS,
  });

  constructor(private readonly store: ports.ObjectStore) {}

  /**
   * Pins a session to `version` unless it is pinned already; returns the pinned
   * version. During a platform outage it returns `version`, which all instances
   * derive alike from the same configuration, and does not cache it.
   */
  async pin(
    workspace: string,
    sessionId: string,
    model: string,
    version: string,
  ): Promise<string> {
    const name = nameOf(workspace, sessionId, model);
    const known = this.cache.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = await this.store.create(PIN_KIND, name, {version});
    const pinned = created.isRight() ? version : await this.read(name);
    if (pinned === undefined) {
      return version;
    }
    this.cache.set(name, pinned);
    return pinned;
  }

  private async read(name: string): Promise<string | undefined> {
    const found = await this.store.get(PIN_KIND, name);
    return found.map(object => readVersion(object.value)).orDefault(undefined);
  }
}
