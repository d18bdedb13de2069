/** Load on one target: at a fixed rate, or as much as some callers ask. */
import * as timers from 'node:timers/promises';
import type * as caller from './caller.js';

/** What a run of load gave. */
export interface Run {
  readonly replies: readonly caller.Reply[];
  readonly seconds: number;
  /** CPU time of the whole process, in milliseconds. */
  readonly cpuMs: number;
}

const measure = async (
  drive: (replies: caller.Reply[]) => Promise<void>,
): Promise<Run> => {
  const replies: caller.Reply[] = [];
  const cpu = process.cpuUsage();
  const started = performance.now();
  await drive(replies);
  const {user, system} = process.cpuUsage(cpu);
  const seconds = (performance.now() - started) / 1000;
  const failed = replies.find(reply => reply.status !== 200);
  if (failed) {
    throw new Error(`a request was answered ${failed.status}`);
  }
  return {replies, seconds, cpuMs: (user + system) / 1000};
};

/** Sends at a rate that does not wait for answers. */
export const driveAtRate = (
  target: caller.Caller,
  perSecond: number,
  count: number,
): Promise<Run> =>
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

/** Lets `callers` ask one request after the other, `count` in all. */
export const driveClosed = (
  target: caller.Caller,
  callers: number,
  count: number,
): Promise<Run> =>
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
