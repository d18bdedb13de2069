/**
 * Drives one roll-out while this instance holds its lease: pools the evidence
 * of all instances, lets the guard decide, and writes the decision where every
 * instance reads it. Any instance resumes from that object.
 */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import * as rolloutCounters from './rollout-counters.js';

/** Kind of roll-out state objects in the object API. */
export const ROLLOUT_KIND = 'rollout_state';

/** Value of a roll-out's state object. */
export interface StoredRollout {
  readonly state: decisions.RolloutState;
  /** Fencing number of the holder that wrote it. */
  readonly fencing: number;
}

/** The right to drive, as the lease gives it. */
export interface DrivingTerm {
  readonly fencing: number;
  mayAct(): boolean;
  readonly signal: AbortSignal;
}

/** What a driver works with. */
export interface RolloutDriverParts {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly environment: string;
  readonly collectEvidence: (
    name: string,
  ) => Promise<decisions.EvidenceByInstance>;
  /** Withdraws the new version in the configuration in force. */
  readonly withdraw: (rollout: configuration.Rollout) => Promise<boolean>;
  readonly notify: (
    kind: 'rollout_step' | 'rollout_stopped',
    rollout: configuration.Rollout,
    detail: string,
  ) => void;
}

/** Time between two looks, in milliseconds. */
export const LOOK_INTERVAL_MS = 1_000;

/** How late ratings are taken to be, in seconds, before any is measured. */
const RATING_DELAY_S = 5;

interface Held {
  readonly stored: StoredRollout;
  /** Version of the object; 0 when there is none yet. */
  readonly version: number;
}

/** Name of a roll-out's state object. */
export const nameState = (
  environment: string,
  rollout: configuration.Rollout,
): string => `${environment}.${rolloutCounters.nameRollout(rollout)}`;

/** Reads the state; undefined when the platform does not answer. */
const readState = async (
  parts: RolloutDriverParts,
  name: string,
): Promise<Held | undefined> => {
  const found = await parts.store.get(ROLLOUT_KIND, name);
  return found.caseOf<Held | undefined>({
    Left: error =>
      error.code === 'not_found'
        ? {
            stored: {state: decisions.createRolloutState(), fencing: 0},
            version: 0,
          }
        : undefined,
    Right: object => ({
      stored: object.value as StoredRollout,
      version: object.version,
    }),
  });
};

const writeState = async (
  parts: RolloutDriverParts,
  name: string,
  held: Held,
  stored: StoredRollout,
): Promise<boolean> => {
  const written =
    held.version === 0
      ? await parts.store.create(ROLLOUT_KIND, name, stored)
      : await parts.store.update(ROLLOUT_KIND, name, stored, held.version);
  return written.isRight();
};

const countRequests = (evidence: decisions.EvidenceByInstance): number =>
  Object.values(evidence).reduce(
    (sum, one) => sum + one.old.requests + one.new.requests,
    0,
  );

/** Looks once; says whether the roll-out goes on. */
const look = async (
  parts: RolloutDriverParts,
  rollout: configuration.Rollout,
  term: DrivingTerm,
  seconds: number,
): Promise<boolean> => {
  const name = nameState(parts.environment, rollout);
  const held = await readState(parts, name);
  if (!held) {
    return true;
  }
  const evidence = await parts.collectEvidence(
    rolloutCounters.nameRollout(rollout),
  );
  const before = held.stored.state;
  const fresh = countRequests(evidence) - countRequests(before.judged);
  const {state, decision} = decisions.evaluateRollout(before, {
    steps: rollout.steps,
    evidence,
    requestRate: Math.max(0, fresh) / seconds,
    ratingDelay: RATING_DELAY_S,
  });
  // A holder that lost its lease while it collected must not write; the
  // object's version refuses it too if it is paused right here.
  if (!term.mayAct() || held.stored.fencing > term.fencing) {
    return false;
  }
  const stored = {state, fencing: term.fencing};
  if (!(await writeState(parts, name, held, stored))) {
    return true;
  }
  if (decision.kind === 'stop') {
    parts.notify('rollout_stopped', rollout, decision.reason);
    return !(await parts.withdraw(rollout));
  }
  if (decision.kind === 'advance') {
    parts.notify('rollout_step', rollout, `share ${decision.share}`);
  }
  return true;
};

/** Drives a roll-out until it is stopped or the term ends. */
export const driveRollout = async (
  parts: RolloutDriverParts,
  rollout: configuration.Rollout,
  term: DrivingTerm,
): Promise<void> => {
  let goesOn = true;
  while (goesOn && term.mayAct() && !term.signal.aborted) {
    goesOn = await look(parts, rollout, term, LOOK_INTERVAL_MS / 1000);
    await parts.clock.sleep(LOOK_INTERVAL_MS, term.signal);
  }
};
