/** Collects the targets that all access rules together allow each workspace. */
import type * as documents from './document.js';
import * as tables from './document-tables.js';
import * as targets from './target.js';

/** Name that means all workspaces in a rule. */
export const ALL_WORKSPACES = '*';

/** Allowed targets by workspace, sorted and without duplicates. */
export type Access = ReadonlyMap<string, readonly documents.Target[]>;

const listRuleWorkspaces = (
  rule: tables.RuleEntry,
  workspaces: readonly string[],
): readonly string[] =>
  rule.workspaces.includes(ALL_WORKSPACES) ? workspaces : rule.workspaces;

/**
 * Collects the targets of each workspace. Skips further rules once a workspace
 * has more than `MAX_ALLOWED` targets, so that a document with many rules for
 * all workspaces is refused before it fills the memory.
 */
export const collectAccess = (document: tables.Tables): Access => {
  const texts = new Map<string, Set<string>>(
    document.workspaces.names.map(name => [name, new Set()]),
  );
  for (const {rule} of document.rules) {
    for (const name of listRuleWorkspaces(rule, document.workspaces.names)) {
      const collected = texts.get(name);
      const remaining = tables.MAX_ALLOWED + 1 - (collected?.size ?? 0);
      for (const text of remaining > 0 ? rule.allow : []) {
        collected?.add(text);
      }
    }
  }
  return new Map(
    [...texts].map(([name, own]) => [
      name,
      [...own].sort().flatMap(text => targets.parseTarget(text).toList()),
    ]),
  );
};
