/** Script of an upstream that records every run and fails some requests. */
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as invariants from './invariants.js';

const NAMES = platform.HEADER_NAMES;

const REQUEST_ID = NAMES.requestId.toLowerCase();
const EXPECTED_UPSTREAM = NAMES.expectedUpstream.toLowerCase();
const LAST_EVENT_ID = NAMES.lastEventId.toLowerCase();

/** Fractions of requests that fail; small, so that most requests succeed. */
const NOT_RUN_FRACTION = 0.04;
const ANSWER_LOST_FRACTION = 0.03;
const CUT_FRACTION = 0.03;

/** Processing time of a request, in milliseconds. */
const WORK_MS = {min: 5, max: 40};

/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 20;

/**
 * Creates the script of one upstream. `findId` returns its current id, which
 * changes with each start; requests that expect another id are refused (421).
 */
export const createSoakScript =
  (
    findId: () => string,
    random: () => number,
    record: (run: invariants.RunRecord) => void,
    now: () => number,
  ): fakes.UpstreamScript =>
  ({request, socket}) => {
    const {headers} = request;
    const id = findId();
    if (headers[EXPECTED_UPSTREAM] !== id) {
      socket.write(fakes.formatNotRun(request, 421));
      return;
    }
    if (random() < NOT_RUN_FRACTION) {
      socket.write(fakes.formatNotRun(request));
      return;
    }
    const requestId = headers[REQUEST_ID] ?? '';
    const lastEventId = Number(headers[LAST_EVENT_ID] ?? 0);
    record({id: requestId, upstream: id, atMs: now(), lastEventId});
    const workMs = WORK_MS.min + random() * (WORK_MS.max - WORK_MS.min);
    const isLost = random() < ANSWER_LOST_FRACTION;
    const isCut = random() < CUT_FRACTION;
    setTimeout(() => {
      if (isLost) {
        socket.resetAndDestroy();
      } else if (
        request.target.startsWith('/read') ||
        request.target.startsWith('/book')
      ) {
        const text = fakes.formatAnswer(
          request,
          invariants.formatPlainBody(requestId),
        );
        socket.write(isCut ? text.slice(0, -3) : text);
        if (isCut) {
          socket.resetAndDestroy();
        }
      } else {
        socket.write(fakes.formatStreamHead(request));
        writeEvents(requestId, lastEventId + 1, isCut);
      }
    }, workMs);

    const writeEvents = (name: string, from: number, isCutHalfway: boolean) => {
      if (socket.destroyed) {
        return;
      }
      if (from > invariants.STREAM_LENGTH) {
        socket.write(fakes.LAST_CHUNK);
        return;
      }
      if (isCutHalfway && from > invariants.STREAM_LENGTH / 2) {
        socket.resetAndDestroy();
        return;
      }
      socket.write(fakes.formatChunk(invariants.formatStreamEvent(name, from)));
      setTimeout(() => {
        writeEvents(name, from + 1, isCutHalfway);
      }, EVENT_MS);
    };
  };
