import * as chai from 'chai';
import * as answerTiming from '../src/answer-timing.js';

const TYPICAL = {firstByteMs: 100, paceMs: 50};

interface Timed {
  readonly timing: answerTiming.AnswerTiming;
  /** Whether each time that counted was slower, in order. */
  readonly counted: readonly boolean[];
}

const timeAnswer = (typical: answerTiming.TypicalTimes = TYPICAL): Timed => {
  const counted: boolean[] = [];
  const timing = new answerTiming.AnswerTiming(0, typical, isSlower => {
    counted.push(isSlower);
  });
  return {timing, counted};
};

/** Records the head and events at these times, in milliseconds. */
const receive = (
  {timing}: Timed,
  [headMs, ...events]: readonly [number, ...number[]],
): void => {
  timing.recordFirstByte(headMs);
  events.forEach(atMs => {
    timing.recordEvent(atMs);
  });
};

describe('the times of an answer on trial', () => {
  for (const [name, times, counted] of [
    [
      'a first byte and a pace as usual',
      [90, 90, 140, 190, 240, 290],
      [false, false],
    ],
    ['a late first byte', [201, 201, 250, 300, 350, 400], [true, false]],
    ['a slow pace', [90, 90, 200, 310, 420, 530], [false, true]],
  ] as const) {
    it(`are compared once each, with ${name}`, () => {
      const timed = timeAnswer();
      receive(timed, times);
      timed.timing.complete();
      timed.timing.checkOverdue(10_000);
      chai.expect(timed.counted).eql(counted);
    });
  }

  it('count before the first byte, once it is late whatever comes', () => {
    // Guards against a slow version that is judged by its fast answers alone,
    // as callers leave the others, or still wait for them.
    const timed = timeAnswer();
    timed.timing.checkOverdue(150);
    chai.expect(timed.counted).eql([]);
    timed.timing.checkOverdue(201);
    receive(timed, [500]);
    chai.expect(timed.counted).eql([true]);
  });

  it('count in the middle of a stream, once its pace is slow whatever comes', () => {
    // Guards against streams that are left because they are slow.
    const timed = timeAnswer();
    receive(timed, [90, 90, 300]);
    timed.timing.checkOverdue(480);
    chai.expect(timed.counted).eql([false]);
    timed.timing.checkOverdue(491);
    chai.expect(timed.counted).eql([false, true]);
  });

  it('of a stream with few events are compared when it is complete', () => {
    const timed = timeAnswer();
    receive(timed, [90, 90, 200]);
    timed.timing.complete();
    chai.expect(timed.counted).eql([false, true]);
  });

  it('do not count where no typical time is known', () => {
    // Guards against an instance that has just started and takes all for fast.
    const timed = timeAnswer({firstByteMs: undefined, paceMs: undefined});
    receive(timed, [90, 90, 140, 190, 240, 290]);
    timed.timing.checkOverdue(10_000);
    chai.expect(timed.counted).eql([]);
  });
});
