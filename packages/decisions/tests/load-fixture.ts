/**
 * Simulates callers of an admission queue in virtual time and checks the
 * recorded history of their requests.
 */
import type * as decisions from '@amaranthknot/decisions';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

/** Methods of an admission queue that the simulation calls. */
export type TestedQueue = Pick<
  decisions.AdmissionQueue,
  'offer' | 'release' | 'expire'
>;

/** A request with its arrival and service time. */
export interface Demand {
  readonly atMs: number;
  readonly serviceMs: number;
  readonly request: decisions.AdmissionRequest;
}

/** Outcome of a request, as its caller sees it. */
export interface Outcome {
  readonly demand: Demand;
  readonly answers: readonly ('answered' | 'refused')[];
  readonly startedMs?: number;
  readonly endedMs?: number;
  readonly retryAfterMs?: number;
}

interface Running {
  readonly id: string;
  readonly endMs: number;
}

/** Creates a seeded generator of uniform random numbers in [0, 1). */
export const createRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => uniform.uniformFloat64(source);
};

/** Demand of one workspace for one kind of request. */
export interface DemandOptions {
  readonly workspace: string;
  readonly ratePerSecond: number;
  readonly untilMs: number;
  readonly serviceMs: number;
  readonly priority?: decisions.AdmissionPriority;
  readonly deadlineMs?: number;
  readonly seed?: number;
}

/** Draws requests that arrive as a Poisson process. */
export const createDemand = (options: DemandOptions): readonly Demand[] => {
  const {workspace, ratePerSecond, untilMs, serviceMs} = options;
  const random = createRandom(options.seed ?? workspace.length);
  const demands: Demand[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1000) / ratePerSecond;
    if (atMs >= untilMs) {
      return demands;
    }
    const request: decisions.AdmissionRequest = {
      id: `${workspace}-${options.priority ?? ''}-${demands.length}`,
      workspace,
      priority: options.priority ?? 'interactive',
      weight: 1,
      deadlineMs: atMs + (options.deadlineMs ?? 5000),
      maxWaitMs: 2000,
      maxConcurrent: 1000,
      maxQueued: 100,
      expectedServiceMs: serviceMs,
    };
    demands.push({atMs, serviceMs: serviceMs * (0.5 + random()), request});
  }
};

/**
 * Offers the demands in order of time and releases each request that ends;
 * returns the outcomes.
 */
export const runLoad = (
  queue: TestedQueue,
  demands: readonly Demand[],
): readonly Outcome[] => {
  const sorted = [...demands].sort((a, b) => a.atMs - b.atMs);
  const byId = new Map(sorted.map(demand => [demand.request.id, demand]));
  const outcomes = new Map<string, Outcome>(
    sorted.map(demand => [demand.request.id, {demand, answers: []}]),
  );
  const running: Running[] = [];
  const update = (id: string, change: Partial<Outcome>): void => {
    outcomes.set(id, {...outcomes.get(id)!, ...change});
  };
  const end = (
    id: string,
    answer: 'answered' | 'refused',
    change: Partial<Outcome>,
  ): void => {
    const {answers} = outcomes.get(id)!;
    update(id, {...change, answers: [...answers, answer]});
  };
  const start = (id: string, nowMs: number): void => {
    running.push({id, endMs: nowMs + byId.get(id)!.serviceMs});
    running.sort((a, b) => b.endMs - a.endMs);
    update(id, {startedMs: nowMs});
  };
  const expire = (nowMs: number): void => {
    for (const {request, retryAfterMs} of queue.expire(nowMs)) {
      end(request.id, 'refused', {endedMs: nowMs, retryAfterMs});
    }
  };
  const finishUntil = (nowMs: number): void => {
    while ((running.at(-1)?.endMs ?? Infinity) <= nowMs) {
      const {id, endMs} = running.pop()!;
      end(id, 'answered', {endedMs: endMs});
      expire(endMs);
      queue.release(id, endMs).forEach(next => start(next.id, endMs));
    }
    expire(nowMs);
  };
  for (const {atMs, request} of sorted) {
    finishUntil(atMs);
    const outcome = queue.offer(request, atMs);
    if (outcome.kind === 'admitted') {
      start(request.id, atMs);
    } else if (outcome.kind === 'refused') {
      const {retryAfterMs} = outcome;
      end(request.id, 'refused', {endedMs: atMs, retryAfterMs});
    }
  }
  finishUntil(sorted.at(-1)!.atMs + 600_000);
  return [...outcomes.values()];
};

/** Lists the faults found in a history; empty when there are none. */
export const checkHistory = (
  outcomes: readonly Outcome[],
  capacity: number,
): readonly string[] => {
  const faults: string[] = [];
  for (const {demand, answers, startedMs, retryAfterMs} of outcomes) {
    const {id, deadlineMs} = demand.request;
    if (answers.length !== 1) {
      faults.push(`${id} has ${answers.length} answers`);
    }
    if (answers[0] === 'refused' && startedMs !== undefined) {
      faults.push(`${id} was refused after it ran`);
    }
    if (answers[0] === 'refused' && !(retryAfterMs! > 0)) {
      faults.push(`${id} was refused without a retry delay`);
    }
    if ((startedMs ?? 0) > deadlineMs) {
      faults.push(`${id} started after its deadline`);
    }
  }
  if (findMaxRunning(outcomes) > capacity) {
    faults.push('more requests ran than there are slots');
  }
  return faults;
};

const findMaxRunning = (outcomes: readonly Outcome[]): number => {
  const steps = outcomes
    .filter(outcome => outcome.startedMs !== undefined)
    .flatMap(outcome => [
      {atMs: outcome.startedMs!, change: 1},
      {atMs: outcome.endedMs!, change: -1},
    ])
    .sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  let running = 0;
  let most = 0;
  for (const {change} of steps) {
    running += change;
    most = Math.max(most, running);
  }
  return most;
};
