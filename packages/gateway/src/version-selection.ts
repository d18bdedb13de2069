/** Selects the upstreams of the version that a rollout gives a request. */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as followedRollout from './followed-rollout.js';

const selectSubset = (
  upstreams: readonly routing.Upstream[],
  {key, fraction}: followedRollout.UpstreamSubset,
): readonly routing.Upstream[] => {
  const ids = upstreams.map(({id}) => id);
  const count = Math.max(1, Math.ceil(fraction * ids.length));
  const first = decisions.rankByRendezvous(key, ids, count);
  return upstreams.filter(({id}) => first.includes(id));
};

/** Whether a choice of versions allows an upstream, also as its fallback. */
export const isVersionAllowed = (
  {version}: routing.Upstream,
  choice: followedRollout.VersionChoice,
): boolean =>
  choice.kind === 'any' ||
  choice.accepts(version) ||
  choice.fallback?.(version) === true;

/** Upstreams of the chosen version, or of its fallback if there are none. */
export const selectByVersion = (
  usable: readonly routing.Upstream[],
  choice: followedRollout.VersionChoice,
): readonly routing.Upstream[] => {
  if (choice.kind === 'any') {
    return usable;
  }
  const accepted = usable.filter(({version}) => choice.accepts(version));
  if (accepted.length > 0) {
    return choice.subset ? selectSubset(accepted, choice.subset) : accepted;
  }
  return usable.filter(({version}) => choice.fallback?.(version) === true);
};
