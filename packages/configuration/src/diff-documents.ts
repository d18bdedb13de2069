/** Lists the differences between two documents by the keys of their TOML. */
import type * as documents from './document.js';
import * as formatDocument from './format-document.js';
import * as problems from './problem.js';
import * as targets from './target.js';
import * as canonicalJson from './util/canonical-json.js';

export type ChangeKind = 'added' | 'removed' | 'changed';

/** Change of one key between two documents. */
export interface Change {
  /** Dotted path, as in the TOML file. */
  readonly key: string;
  readonly kind: ChangeKind;
  /** Previous JSON value; absent if added. */
  readonly before?: unknown;
  /** New JSON value; absent if removed. */
  readonly after?: unknown;
}

type Tree = Readonly<Record<string, unknown>>;

const isTree = (value: unknown): value is Tree =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const toMembers = (items: readonly string[]): Tree =>
  Object.fromEntries(items.map(item => [item, true]));

const addMembers = (workspace: documents.Workspace, tree: unknown): Tree => ({
  ...(tree as Tree),
  keys: toMembers(workspace.keyDigests.map(digest => `sha256:${digest}`)),
  allowed: toMembers(workspace.allowed.map(targets.formatTarget)),
});

/** Turns lists that are sets into trees, so that each member is one change. */
const toTree = (document: documents.Document): Tree => {
  const {rules: _, ...tables} = formatDocument.writeTables(document);
  const workspaces = document.workspaces.map(workspace => {
    const tree = (tables['workspaces'] as Tree)[workspace.name];
    return [workspace.name, addMembers(workspace, tree)];
  });
  return {...tables, workspaces: Object.fromEntries(workspaces) as Tree};
};

const diffValues = (
  path: problems.KeyPath,
  before: unknown,
  after: unknown,
): readonly Change[] => {
  const key = problems.formatKey(path);
  if (before === undefined) {
    return [{key, kind: 'added', after}];
  }
  if (after === undefined) {
    return [{key, kind: 'removed', before}];
  }
  if (isTree(before) && isTree(after)) {
    return diffTrees(path, before, after);
  }
  const isSame =
    canonicalJson.formatCanonicalJson(before) ===
    canonicalJson.formatCanonicalJson(after);
  return isSame ? [] : [{key, kind: 'changed', before, after}];
};

const diffTrees = (
  path: problems.KeyPath,
  before: Tree,
  after: Tree,
): readonly Change[] => {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names]
    .sort()
    .flatMap(name =>
      diffValues([...path, name], readOwn(before, name), readOwn(after, name)),
    );
};

const readOwn = (tree: Tree, name: string): unknown =>
  Object.hasOwn(tree, name) ? tree[name] : undefined;

/** Lists the changes from one document to another, sorted by key. */
export const diffDocuments = (
  before: documents.Document,
  after: documents.Document,
): readonly Change[] => diffTrees([], toTree(before), toTree(after));

const formatValue = (value: unknown): string =>
  value === true ? '' : ` ${canonicalJson.formatCanonicalJson(value)}`;

/** Formats a change as one line: `+` is added, `-` removed, `~` changed. */
export const formatChange = (change: Change): string => {
  switch (change.kind) {
    case 'added':
      return `+ ${change.key}${formatValue(change.after)}`;
    case 'removed':
      return `- ${change.key}${formatValue(change.before)}`;
    case 'changed':
      return `~ ${change.key}${formatValue(change.before)} ->${formatValue(change.after)}`;
  }
};
