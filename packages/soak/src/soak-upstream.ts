/** Script of an upstream that records every run and fails some requests. */
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import type * as checkNotices from './check-notices.js';
import type * as checkWholeAnswers from './check-whole-answers.js';
import * as crashFaults from './crash-faults.js';
import * as invariants from './invariants.js';
import * as documents from './soak-documents.js';

const NAMES = platform.HEADER_NAMES;

const REQUEST_ID = NAMES.requestId.toLowerCase();
const EXPECTED_UPSTREAM = NAMES.expectedUpstream.toLowerCase();
const PROMPT_PARTS = NAMES.promptParts.toLowerCase();
const LAST_EVENT_ID = NAMES.lastEventId.toLowerCase();

const NOT_RUN = {[NAMES.notRun]: '1'};

const LEAVING_HEADERS = {[NAMES.leaving]: '1'};

const MS_PER_S = 1_000;

const formatShed = (request: fakes.ParsedRequest, backoffMs: number): string =>
  fakes.formatAnswer(request, '', {
    status: 503,
    headers: {
      [NAMES.notRun]: '1',
      'Retry-After': (backoffMs / MS_PER_S).toFixed(3),
    },
  });

/** Fractions of requests that fail; small, so that most requests succeed. */
const NOT_RUN_FRACTION = 0.04;
const ANSWER_LOST_FRACTION = 0.03;
const CUT_FRACTION = 0.03;

/** Fraction of the answers that are broken off while it breaks off most. */
const MOST_BROKEN_FRACTION = 0.97;

/** Fraction of the answers that have neither a length nor chunks. */
const UNFRAMED_FRACTION = 0.2;

/** Refusals a second that a fragile upstream bears. */
const MAX_REFUSALS = 3;

/** Time for which it says so before it refuses and fails, in milliseconds. */
const FRAGILE_NOTICE_MS = 3_000;

/** Time for which it is down after a failure, in milliseconds. */
const DOWN_MS = 1_500;

const REFUSAL_HEADERS = {[NAMES.refusalLimit]: String(MAX_REFUSALS)};

/** Creates the state of an upstream that has just started. */
export const createUpstreamState = (id: string): SoakUpstreamState => ({
  id,
  shedsUntilMs: -Infinity,
  isLeaving: false,
  coldUntilMs: -Infinity,
  pausedUntilMs: -Infinity,
  breaksOffUntilMs: -Infinity,
  fragileSinceMs: undefined,
  downUntilMs: -Infinity,
  inProgress: 0,
  refusedAtMs: [],
});

/** Whether a fragile upstream has no slot left; fails if it refuses too much. */
const refusesForRoom = (
  state: SoakUpstreamState,
  record: SoakRecorder,
  now: number,
): boolean => {
  const {fragileSinceMs = Infinity, inProgress} = state;
  const isFragile = now - fragileSinceMs >= FRAGILE_NOTICE_MS;
  if (!isFragile || inProgress < documents.UPSTREAM_SLOTS) {
    return false;
  }
  state.refusedAtMs = state.refusedAtMs.filter(atMs => atMs > now - MS_PER_S);
  state.refusedAtMs.push(now);
  if (state.refusedAtMs.length > MAX_REFUSALS) {
    state.refusedAtMs = [];
    state.downUntilMs = now + DOWN_MS;
    record.failure(now);
  }
  return true;
};

/** Bytes that an answer without a length lacks for the time of `HALF_MS`. */
const HALF_BYTES = 4;

/** A plain answer that only the end of its connection ends. */
const formatUnframed: typeof fakes.formatAnswer = (request, body, options) =>
  fakes.formatUnframedHead(request, options) + body;

/** Processing time of a request, in milliseconds. */
const WORK_MS = {min: 5, max: 40};

/** Time between the halves of a plain answer without a length, in ms. */
const HALF_MS = 40;

/** Time between two events of a stream, in milliseconds. */
const EVENT_MS = 20;

/** State of one upstream, which faults change. */
export interface SoakUpstreamState {
  /** Changes with each start. */
  id: string;
  /** Until then it refuses everything, and asks for a backoff. */
  shedsUntilMs: number;
  isLeaving: boolean;
  /** Until then it takes few requests. */
  coldUntilMs: number;
  /** Until then it answers nothing, and then goes on. */
  pausedUntilMs: number;
  /** Until then it breaks off most answers. */
  breaksOffUntilMs: number;
  /** Since when it has said how many refusals it bears; undefined if not. */
  fragileSinceMs: number | undefined;
  /** Until then it is down, as it refused too much. */
  downUntilMs: number;
  inProgress: number;
  refusedAtMs: number[];
}

/** Receives what a script records. */
export interface SoakRecorder {
  readonly run: (run: invariants.RunRecord) => void;
  /** The whole of a plain answer has been written. */
  readonly whole: (whole: checkWholeAnswers.WholeAnswer) => void;
  readonly arrival: (arrival: checkNotices.Arrival) => void;
  /** Address of the instance that opened a connection, by its port here. */
  readonly findSender: (port: number | undefined) => string | undefined;
  readonly notice: (notice: checkNotices.Notice) => void;
  /** It failed because it refused too much. */
  readonly failure: (atMs: number) => void;
  /** A request with the part that ends upstreams has arrived. */
  readonly fatalArrival: (arrival: checkNotices.Arrival) => void;
  /** It begins to answer such a request, and ends. */
  readonly end: () => void;
}

/**
 * Creates the script of one upstream. Requests that expect another id than its
 * current one are refused (421).
 */
export const createSoakScript =
  (
    state: SoakUpstreamState,
    random: () => number,
    record: SoakRecorder,
    now: () => number,
  ): fakes.UpstreamScript =>
  ({request, socket}) => {
    const {headers} = request;
    const {id, shedsUntilMs, isLeaving} = state;
    if (now() < state.downUntilMs) {
      socket.resetAndDestroy();
      return;
    }
    if (request.target === '/health') {
      const coldForMs = Math.max(0, state.coldUntilMs - now());
      const health = {
        [NAMES.upstreamId]: id,
        [NAMES.coldFor]: String(Math.round(coldForMs)),
      };
      socket.write(fakes.formatAnswer(request, '', {headers: health}));
      return;
    }
    if (headers[EXPECTED_UPSTREAM] !== id) {
      socket.write(fakes.formatNotRun(request, 421));
      return;
    }
    const requestId = headers[REQUEST_ID] ?? '';
    const sender = record.findSender(socket.remotePort);
    const notice = {
      id: requestId,
      upstream: id,
      untilMs: shedsUntilMs,
      sender,
    };
    record.arrival({id: requestId, upstream: id, atMs: now(), sender});
    const isFatal = crashFaults.isFatalPrompt(headers[PROMPT_PARTS]);
    if (isFatal) {
      record.fatalArrival({
        id: requestId,
        upstream: id,
        atMs: now(),
        sender,
      });
    }
    const backoffMs = shedsUntilMs - now();
    if (backoffMs > 0) {
      record.notice({...notice, kind: 'backoff', atMs: now()});
      socket.write(formatShed(request, backoffMs));
      return;
    }
    const isFragile = state.fragileSinceMs !== undefined;
    const answerHeaders = {
      ...(isLeaving ? LEAVING_HEADERS : {}),
      ...(isFragile ? REFUSAL_HEADERS : {}),
    };
    if (refusesForRoom(state, record, now())) {
      const refusal = {status: 503, headers: {...answerHeaders, ...NOT_RUN}};
      socket.write(fakes.formatAnswer(request, '', refusal));
      return;
    }
    if (random() < NOT_RUN_FRACTION) {
      socket.write(fakes.formatNotRun(request));
      return;
    }
    const lastEventId = Number(headers[LAST_EVENT_ID] ?? 0);
    record.run({id: requestId, upstream: id, atMs: now(), lastEventId});
    const workMs = WORK_MS.min + random() * (WORK_MS.max - WORK_MS.min);
    const pauseMs = Math.max(0, state.pausedUntilMs - now());
    state.inProgress++;
    const end = () => {
      state.inProgress--;
    };
    const isLost = random() < ANSWER_LOST_FRACTION;
    const cutFraction =
      now() < state.breaksOffUntilMs ? MOST_BROKEN_FRACTION : CUT_FRACTION;
    const isCut = random() < cutFraction;
    const isUnframed = random() < UNFRAMED_FRACTION;
    setTimeout(() => {
      if (isLost) {
        end();
        socket.resetAndDestroy();
        return;
      }
      if (isLeaving && !isCut) {
        record.notice({...notice, kind: 'leaving', atMs: now()});
      }
      if (
        request.target.startsWith('/read') ||
        request.target.startsWith('/book')
      ) {
        writePlain(isUnframed ? formatUnframed : fakes.formatAnswer);
      } else {
        const options = {headers: answerHeaders};
        socket.write(
          isUnframed
            ? fakes.formatUnframedHead(request, options)
            : fakes.formatStreamHead(request, options),
        );
        if (isFatal) {
          end();
          record.end();
        } else {
          writeEvents(requestId, lastEventId + 1, isCut);
        }
      }
    }, workMs + pauseMs);

    const writePlain = (format: typeof fakes.formatAnswer) => {
      const text = format(request, invariants.formatPlainBody(requestId), {
        headers: answerHeaders,
      });
      if (isCut) {
        breakOffPlain(text);
        end();
        return;
      }
      const half = isUnframed ? text.length - HALF_BYTES : text.length;
      socket.write(text.slice(0, half));
      const endWhole = () => {
        end();
        if (socket.destroyed) {
          return;
        }
        if (isUnframed) {
          socket.end(text.slice(half));
        }
        record.whole({id: requestId, upstream: id, atMs: now()});
      };
      setTimeout(endWhole, isUnframed ? HALF_MS : 0);
    };

    /** Breaks off a plain answer, or goes on with bytes that are none. */
    const breakOffPlain = (text: string) => {
      if (state.inProgress % 2 === 0) {
        const forms = fakes.ENDLESS_FORMS;
        const form = forms[Math.floor(workMs) % forms.length];
        if (form) {
          fakes.sendWithoutEnd(socket, form);
        }
        return;
      }
      socket.write(text.slice(0, -3));
      socket.resetAndDestroy();
    };

    /** Ends within an event, where nothing else says that more was to come. */
    const breakOff = (name: string, at: number) => {
      if (isUnframed) {
        socket.end(invariants.formatStreamEvent(name, at).slice(0, -3));
      } else {
        socket.resetAndDestroy();
      }
    };

    const writeEvents = (name: string, from: number, isCutHalfway: boolean) => {
      if (socket.destroyed) {
        end();
        return;
      }
      if (from > invariants.STREAM_LENGTH) {
        if (isUnframed) {
          socket.end();
        } else {
          socket.write(fakes.LAST_CHUNK);
        }
        end();
        return;
      }
      if (isCutHalfway && from > invariants.STREAM_LENGTH / 2) {
        end();
        breakOff(name, from);
        return;
      }
      const event = invariants.formatStreamEvent(name, from);
      socket.write(isUnframed ? event : fakes.formatChunk(event));
      setTimeout(() => {
        writeEvents(name, from + 1, isCutHalfway);
      }, EVENT_MS);
    };
  };
