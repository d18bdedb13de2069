/**
 * Renders a template as the users' platform does, for tests that start the
 * product from its deploy file. The syntax is that of the platform's pages.
 */

/** Fields of a template, as plain JSON. */
export type TemplateFields = Readonly<Record<string, unknown>>;

/** Innermost first; a name is looked up in each in turn. */
type Scopes = readonly Scope[];

interface Scope {
  readonly value: unknown;
  /** Key or index of the entry that a section is rendered for. */
  readonly key: string;
  readonly isLast: boolean;
}

const TAG = /\{\{([#^/]?)([^{}|]*)(\|json)?\}\}/g;

const getMember = (value: unknown, name: string): unknown =>
  typeof value === 'object' && value !== null
    ? (value as Readonly<Record<string, unknown>>)[name]
    : undefined;

const getPath = (value: unknown, names: readonly string[]): unknown =>
  names.reduce(getMember, value);

const lookUp = (scopes: Scopes, path: string): unknown => {
  if (path === '.') {
    return scopes[0]?.value;
  }
  const names = path.split('.');
  return scopes
    .map(({value}) => getPath(value, names))
    .find(value => value !== undefined);
};

const isPresent = (value: unknown): boolean =>
  value !== undefined && value !== null && value !== false;

const formatValue = (value: unknown): string => {
  if (!isPresent(value)) {
    return value === false ? 'false' : '';
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
};

const formatTag = (scopes: Scopes, path: string, isJson: boolean): string => {
  const [scope] = scopes;
  if (path === '@') {
    return scope?.key ?? '';
  }
  if (path === ',') {
    return scope?.isLast === false ? ',' : '';
  }
  const value = lookUp(scopes, path);
  return isJson ? JSON.stringify(value ?? null) : formatValue(value);
};

const createScopes = (value: unknown): readonly Scope[] => {
  if (!isPresent(value)) {
    return [];
  }
  if (typeof value !== 'object') {
    return [{value, key: '', isLast: true}];
  }
  const entries = Object.entries(value as object);
  return entries.map(([key, entry], index) => ({
    value: entry as unknown,
    key,
    isLast: index === entries.length - 1,
  }));
};

/** Index of the end tag of the section that begins before `from`. */
const findEnd = (
  tags: readonly RegExpExecArray[],
  from: number,
  path: string,
): number => {
  let depth = 1;
  for (let i = from; i < tags.length; i++) {
    const [, sign, name] = tags[i] as RegExpExecArray;
    if (name === path) {
      depth += sign === '/' ? -1 : sign === '' ? 0 : 1;
    }
    if (depth === 0) {
      return i;
    }
  }
  throw new Error(`template section ${path}: expected an end tag, found none`);
};

const render = (text: string, scopes: Scopes): string => {
  const tags = [...text.matchAll(TAG)];
  let rendered = '';
  let position = 0;
  for (let i = 0; i < tags.length; i++) {
    const tag = tags[i] as RegExpExecArray;
    const [all, sign, path = '', json] = tag;
    const after = tag.index + all.length;
    rendered += text.slice(position, tag.index);
    position = after;
    if (sign === '') {
      rendered += formatTag(scopes, path, json !== undefined);
      continue;
    }
    const endIndex = findEnd(tags, i + 1, path);
    const end = tags[endIndex] as RegExpExecArray;
    const body = text.slice(after, end.index);
    const value = lookUp(scopes, path);
    if (sign === '^') {
      rendered += isPresent(value) ? '' : render(body, scopes);
    } else {
      rendered += createScopes(value)
        .map(scope => render(body, [scope, ...scopes]))
        .join('');
    }
    position = end.index + end[0].length;
    i = endIndex;
  }
  return rendered + text.slice(position);
};

/** Renders `text` with the fields of one process. */
export const renderTemplate = (text: string, fields: TemplateFields): string =>
  render(text, [{value: fields, key: '', isLast: true}]);
