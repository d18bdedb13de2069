import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';
import * as gateway from '@amaranthknot/gateway';
import * as ports from '@amaranthknot/ports';
import type * as telemetry from '@amaranthknot/telemetry';
import * as upstreamFixture from './upstream-fixture.js';

/** Time for which the loop is held, in milliseconds. */
const HELD_MS = 700;

const LOG: telemetry.RequestLog = {
  step: () => undefined,
  failure: () => undefined,
};

/** Judges an end of an answer without a length. */
const judge = (
  sign: decisions.LivenessSign,
  findWaitMs: () => number,
): Promise<decisions.AnswerEnd> => {
  const confirm = gateway.createConfirmEnd({
    checkLiveness: () => Promise.resolve({sign, connections: 1, tookMs: 1}),
    findWaitMs,
    onUpstreamEnded: () => undefined,
  });
  const ended = {
    placed: {upstream: upstreamFixture.createUpstream()},
    answer: {framing: 'connection'},
    bytes: 1,
    signal: new AbortController().signal,
  } as unknown as gateway.EndedAnswer;
  return confirm(ended, LOG);
};

describe('the end of an answer without a length', () => {
  const cases: readonly {
    readonly sign: decisions.LivenessSign;
    readonly waitMs: number;
    readonly end: decisions.AnswerEnd;
  }[] = [
    {sign: 'answered', waitMs: 0, end: 'whole'},
    {sign: 'answered', waitMs: 300, end: 'whole'},
    {sign: 'answered', waitMs: 2_400, end: 'early'},
    {sign: 'accepted', waitMs: 0, end: 'whole'},
    {sign: 'accepted', waitMs: 2_400, end: 'early'},
    {sign: 'reset', waitMs: 2_400, end: 'early'},
    {sign: 'refused', waitMs: 0, end: 'early'},
    {sign: 'refused', waitMs: 2_400, end: 'early'},
  ];

  cases.forEach(({sign, waitMs, end}) => {
    it(`that was read after ${waitMs} ms is ${end} when its upstream ${sign}`, async () => {
      // Guards against part of a stream that ends as complete: its upstream ended
      // and was back, under its id or slow, while this process was suspended.
      chai.expect(await judge(sign, () => waitMs)).equal(end);
    });
  });

  it('is early if it is read a turn after the one that was held', async () => {
    // Guards against the end that lies behind the last bytes of a stream.
    const monitor = new gateway.LoopMonitor({
      clock: ports.systemClock,
      onBeat: () => undefined,
    });
    monitor.start();
    await ports.systemClock.sleep(2 * decisions.BEAT_INTERVAL_MS);
    fakes.holdLoop(HELD_MS);
    await ports.systemClock.sleep(2 * decisions.BEAT_INTERVAL_MS);
    const findWaitMs = () => monitor.recentMaxWaitMs();
    chai.expect(await judge('answered', findWaitMs)).equal('early');
    monitor.stop();
  });
});
