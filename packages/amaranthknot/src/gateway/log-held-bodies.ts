/** Logs bodies that are read more slowly, as they have too many pieces. */
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import type * as telemetry from '@amaranthknot/telemetry';

const REQUEST_ID = platform.HEADER_NAMES.requestId.toLowerCase();

/** Logs each such body once; returns what ends that. */
export const logHeldBodies = (
  log: Pick<telemetry.DecisionLog, 'forRequest'>,
): (() => void) =>
  ports.watchHeldBodies(({message, kind, waitMs}) => {
    const id = String(message.headers[REQUEST_ID] ?? '');
    log.forRequest(id).failure('body_held', {
      reason: kind,
      waitMs: Math.round(waitMs),
    });
  });
