/** Does to a system of real processes what a fault says. */
import * as ports from '@amaranthknot/ports';
import type * as processFaults from './process-faults.js';
import type * as systemInstance from './system-instance.js';

/** The system that a fault harms. */
export interface HarmedSystem {
  readonly instances: readonly systemInstance.SystemInstance[];
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number;
  readonly changeConfiguration: () => Promise<void>;
  readonly sendLarge: (
    instance: systemInstance.SystemInstance,
  ) => Promise<void>;
}

/** Time between the signals to two instances, in milliseconds. */
const TURN_MS = 400;

/** Time between two signals to one instance, in milliseconds. */
const TWICE_MS = 5;

/** Time between two looks whether a process has started, in milliseconds. */
const POLL_MS = 2;

const sleep = (ms: number) => ports.systemClock.sleep(ms);

/** Resolves when the process that follows the present one has started. */
const waitForStart = async ({
  process,
}: systemInstance.SystemInstance): Promise<void> => {
  const lives = process.lives.length;
  while (process.lives.length === lives) {
    await sleep(POLL_MS);
  }
};

/** Resolves when the fault is over, but for restarts. */
export const injectProcessFault = async (
  system: HarmedSystem,
  {kind, target, forMs, afterStartMs, listener}: processFaults.ProcessFault,
): Promise<void> => {
  const {instances, graceMs} = system;
  const instance = instances[target % instances.length];
  if (!instance) {
    return;
  }
  const {process} = instance;
  const half = instances.filter((_, index) => index % 2 === target % 2);
  const inTurn = async (
    harm: (each: systemInstance.SystemInstance) => void,
  ) => {
    for (const each of instances) {
      harm(each);
      await sleep(TURN_MS);
    }
  };
  const kill = (each: systemInstance.SystemInstance) => {
    each.process.signal('SIGKILL');
  };
  const stop = (each: systemInstance.SystemInstance) => {
    each.process.stop(graceMs);
  };
  switch (kind) {
    case 'kill': {
      kill(instance);
      return;
    }
    case 'stop': {
      stop(instance);
      return;
    }
    case 'stop_twice':
      stop(instance);
      await sleep(TWICE_MS);
      {
        process.signal('SIGTERM');
        return;
      }
    case 'stop_in_start':
      kill(instance);
      await waitForStart(instance);
      await sleep(afterStartMs);
      {
        stop(instance);
        return;
      }
    case 'hangup': {
      process.signal('SIGHUP');
      return;
    }
    case 'hangup_twice':
      process.signal('SIGHUP');
      await sleep(TWICE_MS);
      {
        process.signal('SIGHUP');
        return;
      }
    case 'hangup_in_start':
      kill(instance);
      await waitForStart(instance);
      await sleep(afterStartMs);
      {
        process.signal('SIGHUP');
        return;
      }
    case 'pause':
      process.signal('SIGSTOP');
      await sleep(forMs);
      {
        process.signal('SIGCONT');
        return;
      }
    case 'stop_in_turn':
      return inTurn(stop);
    case 'kill_in_turn':
      return inTurn(kill);
    case 'stop_half': {
      half.forEach(stop);
      return;
    }
    case 'kill_half': {
      half.forEach(kill);
      return;
    }
    case 'settings_change': {
      instance.changeSettings({retryBudgetSlack: Math.round(forMs)});
      return;
    }
    case 'configuration_change':
      return system.changeConfiguration();
    case 'log_unread':
      instance.log?.pause();
      if (target % 2 === 0) {
        // Until the next start, so that the pipe fills.
        return;
      }
      await sleep(forMs);
      instance.log?.resume();
      return;
    case 'log_closed':
      return instance.log?.close();
    case 'address_taken': {
      const taken = instance.takeAddress(listener, forMs);
      (target % 2 === 0 ? kill : stop)(instance);
      return taken;
    }
    case 'large_bodies':
      return system.sendLarge(instance);
  }
};
