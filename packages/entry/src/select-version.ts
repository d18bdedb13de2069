/** Selects the version of a model that a request runs on. */
import type * as configuration from '@amaranthknot/configuration';

/** Input of `selectVersion`. */
export interface VersionRequest {
  readonly model: configuration.Model;
  /** Versions that the workspace may use; undefined allows all. */
  readonly allowed?: readonly string[];
  /** Version that the session keeps. */
  readonly pinned?: string;
  /** Version that a rollout assigns to a new session. */
  readonly assigned?: string;
}

const findVersion = (
  model: configuration.Model,
  name: string,
): configuration.Version | undefined =>
  model.versions.find(version => version.name === name);

/**
 * Follows successors from a withdrawn version to an active one. All instances
 * read the same document, so that they move a session to the same successor.
 * The limit on hops stops at a cycle, which document checks refuse as well.
 */
const followSuccessors = (
  model: configuration.Model,
  name: string,
): string | undefined => {
  let current = findVersion(model, name);
  for (let hops = 0; hops <= model.versions.length; hops++) {
    if (!current || current.state === 'active') {
      return current?.name;
    }
    current = findVersion(model, current.successor ?? model.defaultVersion);
  }
  return undefined;
};

/**
 * Selects the session's pinned version, else the rollout's, else the default,
 * else any allowed one; never a withdrawn version or one that the rules forbid.
 *
 * @returns undefined if no version may be used
 */
export const selectVersion = (request: VersionRequest): string | undefined => {
  const {model, allowed} = request;
  const isAllowed = (name: string) =>
    allowed === undefined || allowed.includes(name);
  const candidates = [
    request.pinned,
    request.assigned,
    model.defaultVersion,
    ...(allowed ?? []),
  ];
  for (const candidate of candidates) {
    const found =
      candidate === undefined ? undefined : followSuccessors(model, candidate);
    if (found !== undefined && isAllowed(found)) {
      return found;
    }
  }
  return undefined;
};
