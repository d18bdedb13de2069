import * as chai from 'chai';
import * as stallWatchdog from '../src/stall-watchdog.js';

/** Runs a watchdog until its fail-over succeeds; resolves to its attempts. */
const runWatchdog = (
  options: Omit<stallWatchdog.StallWatchdogOptions, 'failOver'>,
  succeedsAt: number,
): Promise<number> =>
  new Promise(resolve => {
    let attempts = 0;
    stallWatchdog.startStallWatchdog({
      ...options,
      failOver: () => {
        attempts++;
        if (attempts === succeedsAt) {
          resolve(attempts);
        }
        return attempts === succeedsAt;
      },
    });
  });

const NEVER_MS = 60_000;

describe('startStallWatchdog', () => {
  it('fails over from an upstream that is silent for too long', async () => {
    const times = {probeAfterMs: NEVER_MS, stallAfterMs: 5};
    const isReachable = () => Promise.resolve(true);
    chai.expect(await runWatchdog({...times, isReachable}, 1)).equal(1);
  });

  it('fails over earlier from an upstream that is unreachable', async () => {
    const times = {probeAfterMs: 5, stallAfterMs: NEVER_MS};
    const isReachable = () => Promise.resolve(false);
    chai.expect(await runWatchdog({...times, isReachable}, 1)).equal(1);
  });

  it('tries again after a fail-over that was not possible', async () => {
    const times = {probeAfterMs: NEVER_MS, stallAfterMs: 5};
    const isReachable = () => Promise.resolve(true);
    chai.expect(await runWatchdog({...times, isReachable}, 3)).equal(3);
  });

  it('stays with a silent upstream that answers the probe', async () => {
    let probes = 0;
    let failedOver = false;
    await new Promise<void>(resolve => {
      const watchdog = stallWatchdog.startStallWatchdog({
        probeAfterMs: 2,
        stallAfterMs: NEVER_MS,
        isReachable: () => {
          probes++;
          if (probes === 3) {
            watchdog.stop();
            resolve();
          }
          return Promise.resolve(true);
        },
        failOver: () => {
          failedOver = true;
          return true;
        },
      });
    });
    chai.expect(failedOver).equal(false);
  });
});
