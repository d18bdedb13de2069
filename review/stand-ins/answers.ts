/** What the runners answer, and what a whole answer is. */

/** Kinds of answer. */
export type AnswerKind = 'plain' | 'stream';

/** Pieces of an answer, and the pause before each, in milliseconds. */
const PIECES = {plain: 2, stream: 10} as const;
export const PAUSE_MS = {plain: 250, stream: 100} as const;

/** Size of a piece of a plain answer, in bytes. */
const PLAIN_PIECE_BYTES = 1_200;

/** The pieces of the whole answer to a request. */
export const piecesOf = (kind: AnswerKind, id: string): readonly string[] =>
  Array.from({length: PIECES[kind]}, (_, index) =>
    kind === 'plain'
      ? `${id} part ${index + 1} of ${PIECES.plain} `.padEnd(
          PLAIN_PIECE_BYTES - 1,
          '.',
        ) + '\n'
      : `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`,
  );

/** Number of pieces that are sent when the runner is killed. */
export const PIECES_BEFORE_KILL = {plain: 1, stream: 4} as const;

/** Parses a kind from the command line. */
export const parseKind = (text: string | undefined): AnswerKind =>
  text === 'stream' ? 'stream' : 'plain';
