/** Checks that no table has more entries than an instance can hold in memory. */
import type * as problems from './problem.js';
import * as access from './access.js';
import * as tables from './document-tables.js';

const MAX_BY_TABLE: Readonly<Record<tables.TableName, number>> = {
  models: tables.MAX_ENTRIES,
  cascades: tables.MAX_ENTRIES,
  services: tables.MAX_ENTRIES,
  workspaces: tables.MAX_WORKSPACES,
  zones: tables.MAX_ENTRIES,
  rollouts: tables.MAX_ENTRIES,
};

const checkCount = (
  path: problems.KeyPath,
  count: number,
  max: number,
  what: string,
): readonly problems.Finding[] => {
  const message = `${count} ${what}, more than the ${max} allowed`;
  return count <= max ? [] : [{path, code: 'out_of_range', message}];
};

/**
 * Checks the numbers of entries per table, of versions per model and of allowed
 * targets per workspace.
 */
export const checkEntryCounts = (
  document: tables.Tables,
  allowed: access.Access,
): readonly problems.Finding[] => [
  ...Object.entries(MAX_BY_TABLE).flatMap(([table, max]) => {
    const {names} = document[table as tables.TableName];
    return checkCount([table], names.length, max, table);
  }),
  ...[...document.models.entries].flatMap(([name, {versions}]) => {
    const size = Object.keys(versions).length;
    const path = ['models', name, 'versions'];
    return checkCount(path, size, tables.MAX_VERSIONS, 'versions');
  }),
  ...[...allowed].flatMap(([name, {length}]) => {
    const path = ['workspaces', name];
    return checkCount(path, length, tables.MAX_ALLOWED, 'allowed targets');
  }),
];
