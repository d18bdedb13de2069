/** Checks the keys of workspaces and the states of availability zones. */
import type * as problems from './problem.js';
import * as tables from './document-tables.js';

/**
 * Checks that each key belongs to one workspace only. With a key in two, the
 * caller's workspace, and so its bill and its rights, would be ambiguous.
 */
export const checkKeyDigests = (
  workspaces: tables.Tables['workspaces'],
): readonly problems.Finding[] => {
  const owners = new Map<string, string>();
  const findings: problems.Finding[] = [];
  for (const [name, workspace] of workspaces.entries) {
    workspace.keys.forEach((key, index) => {
      const digest = tables.readKeyDigest(key);
      const owner = owners.get(digest);
      if (owner === undefined) {
        owners.set(digest, name);
        return;
      }
      findings.push({
        path: ['workspaces', name, 'keys', index],
        code: 'duplicate_key_digest',
        message: `this key already belongs to workspace "${owner}"`,
      });
    });
  }
  return findings;
};

/** Checks that not all zones are out, as no request could then be placed. */
export const checkZones = (
  zones: tables.Tables['zones'],
): readonly problems.Finding[] => {
  // A missing table or a zone of the wrong shape has a finding already.
  const isIncomplete =
    !zones.isWritten || zones.entries.size < zones.names.length;
  const hasZoneIn = [...zones.entries.values()].some(
    zone => zone.state === 'in',
  );
  if (isIncomplete || hasZoneIn) {
    return [];
  }
  const message = 'at least one availability zone must be "in", got none';
  return [{path: ['zones'], code: 'all_zones_out', message}];
};
