import * as chai from 'chai';
import * as stallWatchdog from '../src/stall-watchdog.js';

/** Plays a watch and resolves once it has left, with how often it tried. */
const playWatch = (
  options: Omit<stallWatchdog.StallWatchdogOptions, 'failOver'>,
  leavesAt: number,
): Promise<number> =>
  new Promise(resolve => {
    let tries = 0;
    stallWatchdog.startStallWatchdog({
      ...options,
      failOver: () => {
        tries++;
        if (tries === leavesAt) {
          resolve(tries);
        }
        return tries === leavesAt;
      },
    });
  });

const NEVER_MS = 60_000;

describe('silence watch', () => {
  it('leaves an upstream that is silent for too long', async () => {
    const times = {probeAfterMs: NEVER_MS, stallAfterMs: 5};
    const isReachable = () => Promise.resolve(true);
    chai.expect(await playWatch({...times, isReachable}, 1)).equal(1);
  });

  it('leaves an upstream that is gone before that', async () => {
    const times = {probeAfterMs: 5, stallAfterMs: NEVER_MS};
    const isReachable = () => Promise.resolve(false);
    chai.expect(await playWatch({...times, isReachable}, 1)).equal(1);
  });

  it('asks again while it may not leave', async () => {
    const times = {probeAfterMs: NEVER_MS, stallAfterMs: 5};
    const isReachable = () => Promise.resolve(true);
    chai.expect(await playWatch({...times, isReachable}, 3)).equal(3);
  });

  it('stays where an upstream that is only busy answers the probe', async () => {
    let probes = 0;
    let left = false;
    await new Promise<void>(resolve => {
      const watch = stallWatchdog.startStallWatchdog({
        probeAfterMs: 2,
        stallAfterMs: NEVER_MS,
        isReachable: () => {
          probes++;
          if (probes === 3) {
            watch.stop();
            resolve();
          }
          return Promise.resolve(true);
        },
        failOver: () => {
          left = true;
          return true;
        },
      });
    });
    chai.expect(left).equal(false);
  });
});
