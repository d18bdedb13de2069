/**
 * Drives one rollout while this instance holds its lease: collects the
 * evidence of all instances, evaluates it, and writes the decision to an object
 * that all instances read and that the next holder resumes from.
 */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import * as rolloutCounters from './rollout-counters.js';

/** Kind of rollout state objects in the object API. */
export const ROLLOUT_KIND = 'rollout_state';

/** Value of a rollout's state object. */
export interface StoredRollout {
  readonly state: decisions.RolloutState;
  /** Fencing number of the holder that wrote it. */
  readonly fencing: number;
}

/** A term of the lease under which this instance drives the rollout. */
export interface TaskTerm {
  readonly fencing: number;
  mayAct(): boolean;
  readonly signal: AbortSignal;
}

/** Dependencies and settings of `driveRollout`. */
export interface RolloutDriverDependencies {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  readonly environment: string;
  readonly collectEvidence: (
    name: string,
  ) => Promise<decisions.EvidenceByInstance>;
  /** Withdraws the new version in the configuration; whether that succeeded. */
  readonly withdraw: (rollout: configuration.Rollout) => Promise<boolean>;
  readonly notify: (
    kind: 'rollout_step' | 'rollout_stopped',
    rollout: configuration.Rollout,
    detail: string,
  ) => void;
}

/** Time between two evaluations, in milliseconds. */
export const EVALUATION_INTERVAL_MS = 1_000;

/** Assumed delay of ratings, in seconds. */
const RATING_DELAY_S = 5;

interface VersionedState {
  readonly stored: StoredRollout;
  /** Version of the object; 0 if it does not exist. */
  readonly version: number;
}

/** Name of a rollout's state object. */
export const nameRolloutState = (
  environment: string,
  rollout: configuration.Rollout,
): string => `${environment}.${rolloutCounters.nameRollout(rollout)}`;

/** Reads the state, or an initial one; undefined if the platform fails. */
const readState = async (
  dependencies: RolloutDriverDependencies,
  name: string,
): Promise<VersionedState | undefined> => {
  const found = await dependencies.store.get(ROLLOUT_KIND, name);
  return found.caseOf<VersionedState | undefined>({
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
  dependencies: RolloutDriverDependencies,
  name: string,
  current: VersionedState,
  stored: StoredRollout,
): Promise<boolean> => {
  const written =
    current.version === 0
      ? await dependencies.store.create(ROLLOUT_KIND, name, stored)
      : await dependencies.store.update(
          ROLLOUT_KIND,
          name,
          stored,
          current.version,
        );
  return written.isRight();
};

const countRequests = (evidence: decisions.EvidenceByInstance): number =>
  Object.values(evidence).reduce(
    (sum, counts) => sum + counts.old.requests + counts.new.requests,
    0,
  );

/** Evaluates the rollout once; returns whether to continue driving it. */
const evaluate = async (
  dependencies: RolloutDriverDependencies,
  rollout: configuration.Rollout,
  term: TaskTerm,
  seconds: number,
): Promise<boolean> => {
  const name = nameRolloutState(dependencies.environment, rollout);
  const current = await readState(dependencies, name);
  if (!current) {
    return true;
  }
  const evidence = await dependencies.collectEvidence(
    rolloutCounters.nameRollout(rollout),
  );
  const before = current.stored.state;
  const newRequests = countRequests(evidence) - countRequests(before.judged);
  const {state, decision} = decisions.evaluateRollout(before, {
    steps: rollout.steps,
    evidence,
    requestRate: Math.max(0, newRequests) / seconds,
    ratingDelay: RATING_DELAY_S,
  });
  // A holder that lost its lease while it collected evidence must not write. If
  // it is paused after this check, the object's version refuses its write.
  if (!term.mayAct() || current.stored.fencing > term.fencing) {
    return false;
  }
  const stored = {state, fencing: term.fencing};
  if (!(await writeState(dependencies, name, current, stored))) {
    return true;
  }
  if (decision.kind === 'stop') {
    dependencies.notify('rollout_stopped', rollout, decision.reason);
    return !(await dependencies.withdraw(rollout));
  }
  if (decision.kind === 'advance') {
    dependencies.notify('rollout_step', rollout, `share ${decision.share}`);
  }
  return true;
};

/** Evaluates a rollout repeatedly until it is stopped or the term ends. */
export const driveRollout = async (
  dependencies: RolloutDriverDependencies,
  rollout: configuration.Rollout,
  term: TaskTerm,
): Promise<void> => {
  let isRunning = true;
  while (isRunning && term.mayAct() && !term.signal.aborted) {
    isRunning = await evaluate(
      dependencies,
      rollout,
      term,
      EVALUATION_INTERVAL_MS / 1000,
    );
    await dependencies.clock.sleep(EVALUATION_INTERVAL_MS, term.signal);
  }
};
