import * as purify from 'purify-ts';
import type * as platform from '@amaranthknot/platform';

/**
 * Bounds a call to the object API in time. A call that takes longer counts as
 * `unknown`: its write may have taken effect, or may still do so later.
 */
export const callWithTimeout = async <T>(
  clock: platform.Clock,
  timeoutMs: number,
  call: Promise<platform.StoreResult<T>>,
): Promise<platform.StoreResult<T>> => {
  const answered = new AbortController();
  const timeout = clock
    .sleep(timeoutMs, answered.signal)
    .then((): platform.StoreResult<T> =>
      purify.Left({code: 'unknown', message: `no answer in ${timeoutMs} ms`}),
    );
  const result = await Promise.race([call, timeout]);
  answered.abort();
  return result;
};
