/**
 * Headers as a flat list of names and values, in the order and spelling of the
 * wire; the format of `rawHeaders` in `node:http`.
 */

/** `[name, value, name, value, ...]`. */
export type RawHeaders = readonly string[];

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Value of the first header with that lower-case name; undefined if none. */
export const findHeader = (
  headers: RawHeaders,
  lowerName: string,
): string | undefined => {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() === lowerName) {
      return headers[i + 1];
    }
  }
  return undefined;
};

const namedByConnection = (headers: RawHeaders): ReadonlySet<string> => {
  const value = findHeader(headers, 'connection') ?? '';
  const names = value.split(',').map(name => name.trim().toLowerCase());
  return new Set(names.filter(name => name !== ''));
};

/**
 * The end-to-end headers, without those whose lower-case name is in `dropped`.
 * Headers that `Connection` names are hop-by-hop too.
 */
export const keepEndToEnd = (
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): string[] => {
  const named = namedByConnection(headers);
  const kept: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? '';
    const lower = name.toLowerCase();
    const isDropped =
      HOP_BY_HOP_HEADERS.has(lower) || dropped.has(lower) || named.has(lower);
    if (!isDropped) {
      kept.push(name, headers[i + 1] ?? '');
    }
  }
  return kept;
};
