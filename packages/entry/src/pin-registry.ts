/**
 * Versions of sessions whose callers send only an id of their own. The first
 * instance that sees such a session creates an object with its version; every
 * other reads it. Tokens need none of this.
 */
import * as crypto from 'node:crypto';
import * as lruCache from 'lru-cache';
import type * as ports from '@amaranthknot/ports';

/** Kind of pin objects in the object API. */
export const PIN_KIND = 'session_pin';

/** Pins remembered by one instance: about 10 MB. */
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

/** Keeps the versions of callers' own sessions. */
export class PinRegistry {
  private readonly cache = new lruCache.LRUCache<string, string>({
    max: MAX_CACHED_PINS,
  });

  constructor(private readonly store: ports.ObjectStore) {}

  /**
   * The version that a session keeps; `version` when it has none yet. In an
   * outage of the platform it answers `version`, which every instance derives
   * alike from the same configuration, and asks again next time.
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
