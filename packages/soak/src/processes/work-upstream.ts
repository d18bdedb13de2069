/** Script of an upstream that fails nothing and records when it works. */
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as invariants from '../invariants.js';
import type * as requestRecord from './request-record.js';

const NAMES = platform.HEADER_NAMES;
const REQUEST_ID = NAMES.requestId.toLowerCase();
const EXPECTED_UPSTREAM = NAMES.expectedUpstream.toLowerCase();
const LAST_EVENT_ID = NAMES.lastEventId.toLowerCase();

/** Processing time of a plain request, in milliseconds. */
const WORK_MS = {min: 5, max: 40};

/** Time between two events of a stream; some are slow, in milliseconds. */
const EVENT_MS = {usual: 20, slow: 150};
const SLOW_FRACTION = 0.2;

/** The body of the whole answer to a request. */
export const formatWorkBody = (
  id: string,
  kind: requestRecord.WorkKind,
): string =>
  kind === 'stream'
    ? invariants.formatStreamBody(id)
    : invariants.formatPlainBody(id);

/** Creates the script of the upstream `id`. */
export const createWorkScript =
  (
    id: string,
    random: () => number,
    runs: requestRecord.WorkRun[],
  ): fakes.UpstreamScript =>
  ({request, socket}) => {
    const {headers, target} = request;
    if (target === '/health') {
      const health = {[NAMES.upstreamId]: id, [NAMES.coldFor]: '0'};
      socket.write(fakes.formatAnswer(request, '', {headers: health}));
      return;
    }
    if (headers[EXPECTED_UPSTREAM] !== id) {
      socket.write(fakes.formatNotRun(request, 421));
      return;
    }
    const requestId = headers[REQUEST_ID] ?? '';
    const startedAtMs = ports.systemClock.now();
    const run: requestRecord.WorkRun = {
      id: requestId,
      startedAtMs,
      endedAtMs: undefined,
    };
    runs.push(run);
    const end = () => {
      run.endedAtMs ??= ports.systemClock.now();
    };
    socket.once('close', end);
    const finish = (text: string) => {
      socket.write(text);
      socket.off('close', end);
      end();
    };
    const gapMs = random() < SLOW_FRACTION ? EVENT_MS.slow : EVENT_MS.usual;
    const writeEvent = (number: number) => {
      if (socket.destroyed) {
        return;
      }
      if (number > invariants.STREAM_LENGTH) {
        finish(fakes.LAST_CHUNK);
        return;
      }
      const event = invariants.formatStreamEvent(requestId, number);
      socket.write(fakes.formatChunk(event));
      setTimeout(() => {
        writeEvent(number + 1);
      }, gapMs);
    };
    const workMs = WORK_MS.min + random() * (WORK_MS.max - WORK_MS.min);
    setTimeout(() => {
      if (target.startsWith('/stream')) {
        socket.write(fakes.formatStreamHead(request));
        writeEvent(Number(headers[LAST_EVENT_ID] ?? 0) + 1);
      } else {
        const body = invariants.formatPlainBody(requestId);
        finish(fakes.formatAnswer(request, body));
      }
    }, workMs);
  };
