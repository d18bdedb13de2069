import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';

/**
 * Adds a timeout to a call to the object API. A call that times out fails with
 * `unknown`: its write may have taken effect, or may still do so.
 */
export const callWithTimeout = async <T>(
  clock: ports.Clock,
  timeoutMs: number,
  call: Promise<ports.StoreResult<T>>,
): Promise<ports.StoreResult<T>> => {
  const answered = new AbortController();
  const timeout = clock
    .sleep(timeoutMs, answered.signal)
    .then((): ports.StoreResult<T> =>
      purify.Left({
        code: 'unknown',
        message: `no answer within ${timeoutMs} ms`,
      }),
    );
  const result = await Promise.race([call, timeout]);
  answered.abort();
  return result;
};
