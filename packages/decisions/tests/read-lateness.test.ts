import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

/** Beats at their interval from 0 to `untilMs`. */
const beatUntil = (untilMs: number): decisions.ReadLateness => {
  const lateness = new decisions.ReadLateness(0);
  for (let ms = 0; ms <= untilMs; ms += decisions.BEAT_INTERVAL_MS) {
    lateness.beat(ms);
  }
  return lateness;
};

describe('ReadLateness', () => {
  [0, 49, 100].forEach(ms => {
    it(`is 0 while the loop is on time, ${ms} ms after a beat`, () => {
      // Guards against time that is taken from requests on a calm instance.
      chai.expect(beatUntil(1_000).maxWaitMs(1_000 + ms)).equal(0);
    });
  });

  it('covers a turn that is still going on', () => {
    // Guards against what is read first after a long turn counting as new.
    chai.expect(beatUntil(1_000).maxWaitMs(2_200)).within(1_200, 1_250);
  });

  it('covers a long turn until the turn after it is over', () => {
    // Guards against what is read after the beat that follows a long turn
    // counting as new.
    const lateness = beatUntil(1_000);
    lateness.beat(2_200);
    chai.expect(lateness.maxWaitMs(2_210)).within(1_200, 1_260);
    lateness.beat(2_250);
    chai.expect(lateness.maxWaitMs(2_260)).equal(0);
  });

  it('adds up turns that are each a little late', () => {
    // Guards against a loop that is late in each turn and never counts as late.
    const lateness = beatUntil(1_000);
    lateness.beat(1_150);
    lateness.beat(1_300);
    chai.expect(lateness.maxWaitMs(1_420)).equal(270);
  });

  it('remembers a long turn while what came in it is read', () => {
    // Guards against the end of a connection that counts as new, as it is read a
    // turn after the bytes before it.
    const lateness = beatUntil(1_000);
    lateness.beat(3_400);
    lateness.beat(3_401);
    chai.expect(lateness.maxWaitMs(3_402)).equal(0);
    chai.expect(lateness.recentMaxWaitMs(3_402)).within(2_400, 2_460);
    for (let ms = 3_450; ms <= 5_000; ms += decisions.BEAT_INTERVAL_MS) {
      lateness.beat(ms);
    }
    chai.expect(lateness.recentMaxWaitMs(5_000)).equal(0);
  });

  it('remembers the longest of several long turns', () => {
    // Guards against a short late turn that hides a long one before it.
    const lateness = beatUntil(1_000);
    lateness.beat(3_400);
    lateness.beat(3_401);
    lateness.beat(3_700);
    lateness.beat(3_701);
    chai.expect(lateness.recentMaxWaitMs(3_702)).within(2_400, 2_460);
  });
});
