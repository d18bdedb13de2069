/** Which version of a model a request runs on. */
import type * as configuration from '@amaranthknot/configuration';

/** What decides the version. */
export interface VersionRequest {
  readonly model: configuration.Model;
  /** Versions the workspace may use; undefined when any. */
  readonly allowed?: readonly string[];
  /** Version that the session keeps. */
  readonly pinned?: string;
  /** Version that a roll-out assigns to a new session. */
  readonly assigned?: string;
}

const findVersion = (
  model: configuration.Model,
  name: string,
): configuration.Version | undefined =>
  model.versions.find(version => version.name === name);

/**
 * Follows successors from a withdrawn version to an active one. Every instance
 * reads the same document, so a session moves to the same successor
 * everywhere. The bound stops a cycle, which checking refuses anyway.
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
 * Selects the version: the session's own, else the roll-out's, else the
 * default; never a withdrawn one and never one that the rules do not allow.
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
