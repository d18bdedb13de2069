/**
 * Gathers the pieces of a body that are read in one turn of the event loop, and
 * holds bodies that come in more pieces than the process can afford.
 *
 * The HTTP parser hands over each chunk by itself, some ten thousand of one read
 * where they have one byte. Readers get the first piece of a turn at once and the
 * others in one; what waits for a reader takes as much memory as is counted.
 */
import type * as http from 'node:http';
import * as decisions from '@amaranthknot/decisions';
import * as byteBlocks from './byte-blocks.js';
import * as timeouts from './timeout.js';

/** Smallest piece that a reader gets at once, in bytes. */
const MIN_WHOLE_PIECE_BYTES = 4_096;

/** Smallest piece that costs no more than its bytes do, in bytes. */
const MIN_FAIR_PIECE_BYTES = 512;

/** Pieces of one turn after which they are counted. */
const MAX_UNCOUNTED_PIECES = 1_024;

/** Calls `flush` once what is read now has been parsed. */
type WhenParsed = (flush: () => void) => void;

/** All bodies of a process share its event loop, and so its pace. */
const PROCESS_PACE = new decisions.ReadPace(() => performance.now());

/** A body whose connection is not read for a while, as it has too many pieces. */
export interface HeldBody {
  readonly message: http.IncomingMessage;
  readonly kind: 'answer' | 'request';
  /** Time until it is read on, in milliseconds. */
  readonly waitMs: number;
}

/** Called when a body is held for the first time. */
export type HeldBodyListener = (held: HeldBody) => void;

const heldBodyListeners = new Set<HeldBodyListener>();

/** Watches for bodies of this process that are held; returns what ends that. */
export const watchHeldBodies = (listener: HeldBodyListener): (() => void) => {
  heldBodyListeners.add(listener);
  return () => {
    heldBodyListeners.delete(listener);
  };
};

/** Counts further pieces of a body, such as the events in it. */
type CountPieces = (pieces: number) => void;

const counters = new WeakMap<http.IncomingMessage, CountPieces>();

/** The parts of a message that the parser and readers call. */
interface BodySource {
  push(chunk: Buffer | null, encoding?: BufferEncoding): boolean;
  _read(size: number): void;
}

/** Counts events or the like in a body as pieces of it. */
export const countPieces = (
  message: http.IncomingMessage,
  pieces: number,
): void => {
  counters.get(message)?.(pieces);
};

/**
 * Gathers and paces the body of an answer. Call it before any of the body is
 * parsed: as the first listener for the answer.
 */
export const gatherAnswer = (
  message: http.IncomingMessage,
  pace: decisions.ReadPace = PROCESS_PACE,
): void => {
  gatherBody(message, 'answer', pace, flush => {
    process.nextTick(flush);
  });
};

/**
 * The same for the body of a request. The parser of a server runs the queue of
 * ticks after each chunk, so pieces are gathered until the end of the turn.
 */
export const gatherRequest = (
  message: http.IncomingMessage,
  pace: decisions.ReadPace = PROCESS_PACE,
): void => {
  gatherBody(message, 'request', pace, flush => {
    setImmediate(flush);
  });
};

const gatherBody = (
  message: http.IncomingMessage,
  kind: HeldBody['kind'],
  pace: decisions.ReadPace,
  whenParsed: WhenParsed,
): void => {
  const source: BodySource = message;
  const push = source.push.bind(message);
  const read = source._read.bind(message);
  const body = pace.begin();
  const gathered = new byteBlocks.ByteBlocks();
  let pieces = 0;
  let isFlushing = false;
  let wasHeld = false;
  let cancelRelease: timeouts.CancelTimeout | undefined;

  const release = () => {
    if (cancelRelease) {
      cancelRelease();
      cancelRelease = undefined;
      message.socket.resume();
    }
  };
  const hold = (waitMs: number) => {
    cancelRelease?.();
    cancelRelease = timeouts.startTimeout(release, waitMs);
    message.socket.pause();
    if (!wasHeld) {
      wasHeld = true;
      heldBodyListeners.forEach(listener => {
        listener({message, kind, waitMs});
      });
    }
  };
  const count = (more: number) => {
    const waitMs = body.count(more);
    if (waitMs > 0 && !message.complete && !message.destroyed) {
      hold(waitMs);
    }
  };
  const passOn = (): boolean => {
    if (gathered.length === 0) {
      return true;
    }
    const bytes = gathered.concat();
    gathered.clear();
    return push(bytes);
  };
  const countGathered = () => {
    const uncounted = pieces;
    pieces = 0;
    count(uncounted);
  };
  const flush = () => {
    isFlushing = false;
    passOn();
    countGathered();
  };

  counters.set(message, count);
  message.once('close', release);
  source._read = size => {
    if (!cancelRelease) {
      read(size);
    }
  };
  source.push = (chunk, encoding) => {
    if (chunk === null) {
      passOn();
      release();
      return push(null);
    }
    if (chunk.length < MIN_FAIR_PIECE_BYTES) {
      pieces++;
    }
    if (pieces >= MAX_UNCOUNTED_PIECES) {
      countGathered();
    }
    const isFirstOfTurn = !isFlushing;
    if (isFirstOfTurn) {
      isFlushing = true;
      whenParsed(flush);
    }
    if (isFirstOfTurn || chunk.length >= MIN_WHOLE_PIECE_BYTES) {
      passOn();
      return push(chunk, encoding);
    }
    gathered.add(chunk);
    const waiting = message.readableLength + gathered.length;
    return waiting < message.readableHighWaterMark;
  };
};
