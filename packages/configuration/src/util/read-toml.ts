/** Parses TOML into plain data, and places findings at lines of the file. */
import * as purify from 'purify-ts';
import * as toml from 'smol-toml';
import * as problems from '../problem.js';
import * as lineIndex from './index-lines.js';

/** Parsed TOML file with the lines of its keys. */
export interface TomlFile {
  readonly file: string;
  readonly data: Readonly<Record<string, unknown>>;
  readonly lines: lineIndex.LineIndex;
}

const describeSyntax = (error: unknown, file: string): problems.Problem => {
  const location = error instanceof toml.TomlError ? {line: error.line} : {};
  const text = error instanceof Error ? error.message : String(error);
  // The parser appends a code excerpt; the first line has the reason.
  const message = text.split('\n')[0] ?? text;
  return {
    file,
    ...location,
    key: problems.WHOLE_FILE_KEY,
    code: 'syntax',
    message,
  };
};

/**
 * Parses TOML of at most `maxBytes` in UTF-8. A larger text gives `too_large`,
 * an invalid one `syntax`.
 */
export const readToml = (
  text: string,
  file: string,
  maxBytes: number,
): purify.Either<readonly problems.Problem[], TomlFile> => {
  const bytes = Buffer.byteLength(text);
  if (bytes > maxBytes) {
    const message = `${bytes} bytes, more than the ${maxBytes} allowed`;
    const key = problems.WHOLE_FILE_KEY;
    return purify.Left([{file, key, code: 'too_large', message}]);
  }
  return purify.Either.encase(() => toml.parse(text))
    .mapLeft(error => [describeSyntax(error, file)])
    .map(data => ({file, data, lines: lineIndex.indexLines(text)}));
};

const locate = (
  source: TomlFile,
  finding: problems.Finding,
): problems.Problem => {
  const line = lineIndex.findLine(source.lines, finding.path);
  return {
    file: source.file,
    ...(line === undefined ? {} : {line}),
    key: problems.formatKey(finding.path),
    code: finding.code,
    message: finding.message,
    ...(finding.nearest === undefined ? {} : {nearest: finding.nearest}),
  };
};

/** Adds file and line to findings and sorts them by line. */
export const locateFindings = (
  source: TomlFile,
  findings: readonly problems.Finding[],
): readonly problems.Problem[] =>
  findings
    .map(finding => locate(source, finding))
    .sort((a, b) => (a.line ?? 0) - (b.line ?? 0));
