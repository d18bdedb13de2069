/** Drops the body of a refusal, whose head says all. */
import type * as http from 'node:http';
import * as ports from '@amaranthknot/ports';

/**
 * Bounds of the body of a refusal that is read for the sake of its connection.
 * Refusals have some hundred bytes, which come with their head.
 */
const BOUNDS: ports.DiscardBounds = {maxBytes: 65_536, maxMs: 1_000};

/** Drops the body; closes the connection if it has no end in sight. */
export const discardRefusal = (response: http.IncomingMessage): void => {
  ports.discardBody(response, BOUNDS, () => {
    response.destroy();
  });
};
