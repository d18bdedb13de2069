/** Generates load: open loop at a fixed rate, or closed loop with callers. */
import * as timers from 'node:timers/promises';
import type * as caller from './caller.js';

/** Replies and cost of one load run. */
export interface LoadRun {
  readonly replies: readonly caller.Reply[];
  readonly seconds: number;
  /** CPU time of the whole process, in milliseconds. */
  readonly cpuMs: number;
}

const measure = async (
  sendAll: (replies: caller.Reply[]) => Promise<void>,
): Promise<LoadRun> => {
  const replies: caller.Reply[] = [];
  const cpu = process.cpuUsage();
  const started = performance.now();
  await sendAll(replies);
  const {user, system} = process.cpuUsage(cpu);
  const seconds = (performance.now() - started) / 1000;
  const failed = replies.find(reply => reply.status !== 200);
  if (failed) {
    throw new Error(
      `load run failed: a request was answered ${failed.status}, expected 200`,
    );
  }
  return {replies, seconds, cpuMs: (user + system) / 1000};
};

/** Sends `count` requests at a fixed rate without waiting for answers. */
export const driveAtRate = (
  target: caller.Caller,
  perSecond: number,
  count: number,
): Promise<LoadRun> =>
  measure(async replies => {
    const started = performance.now();
    const pending: Promise<unknown>[] = [];
    for (let i = 0; i < count; i++) {
      const due = started + (i * 1000) / perSecond;
      const waitMs = due - performance.now();
      if (waitMs > 0) {
        await timers.setTimeout(waitMs);
      }
      pending.push(target.send().then(reply => replies.push(reply)));
    }
    await Promise.all(pending);
  });

/**
 * Sends `count` requests in all; each of `callers` sends its next request when
 * the previous one is answered.
 */
export const driveClosedLoop = (
  target: caller.Caller,
  callers: number,
  count: number,
): Promise<LoadRun> =>
  measure(async replies => {
    let left = count;
    const ask = async (): Promise<void> => {
      while (left > 0) {
        left--;
        replies.push(await target.send());
      }
    };
    await Promise.all(Array.from({length: callers}, ask));
  });
