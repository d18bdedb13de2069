/** Checks of keys and zones. */
import type * as problems from './problem.js';
import * as tables from './document-tables.js';

/**
 * A key that stands twice would make the caller's workspace, and so its bill
 * and its rights, a matter of chance.
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

/** With all zones out, no request could be placed anywhere. */
export const checkZones = (
  zones: tables.Tables['zones'],
): readonly problems.Finding[] => {
  // Zones of the wrong shape, or without a table, are reported as that.
  const isIncomplete =
    !zones.isWritten || zones.entries.size < zones.names.length;
  const hasZoneIn = [...zones.entries.values()].some(
    zone => zone.state === 'in',
  );
  if (isIncomplete || hasZoneIn) {
    return [];
  }
  const message = 'at least one availability zone must be in';
  return [{path: ['zones'], code: 'all_zones_out', message}];
};
