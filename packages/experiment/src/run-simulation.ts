/**
 * Simulates the load of a deployment in virtual time. Complete instances place
 * requests and decide on escalation, and emulated engines run them. What an
 * instance does over connections (hedged requests, silent streams, broken
 * answers) is not simulated.
 */
import * as fakes from '@amaranthknot/fakes';
import type * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import type * as deployments from './deployment.js';
import * as emulatedEngine from './emulated-engine.js';
import * as manifests from './manifest.js';
import * as policies from './policy.js';
import * as virtualFleet from './virtual-fleet.js';

/** Totals over all requests of a simulation. */
export interface SimulationOutcome {
  readonly requests: number;
  /** Worth of all requests if answered well in time, and the part earned. */
  readonly owed: number;
  readonly earned: number;
  /** Price of all model runs. */
  readonly spent: number;
  /** Answers whose first token came after the latency target. */
  readonly late: number;
  /** Requests without a complete answer within their timeouts. */
  readonly lost: number;
  /** Answers to requests that were too difficult for the model. */
  readonly weak: number;
}

/** Fraction of its worth that a weak answer earns. */
const WEAK_VALUE_FRACTION = 0.05;

/** Time for membership and configuration to settle before the load, in ms. */
const SETTLE_MS = 4_000;

/** Step of the wait for the last answers after the load, in milliseconds. */
const DRAIN_STEP_MS = 1_000;

/** Step in which requests are started, in milliseconds. */
const STEP_MS = 10;

const MS_PER_S = 1_000;

/** Price of a prompt token as a fraction of a generated token's. */
const PROMPT_PRICE_FRACTION = 0.25;

/** A drawn request; the same under each policy. */
interface DrawnRequest {
  readonly id: string;
  readonly atMs: number;
  /** Choice of the instance, in [0, 1). */
  readonly instance: number;
  readonly class: deployments.RequestClass;
  readonly prefixKey: string;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly answerTokens: number;
  /** In [0, 1); a model whose quality is lower gives a weak answer. */
  readonly difficulty: number;
  /** Error of a model's confidence, standard normal. */
  readonly confidenceError: number;
}

const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** Draws all requests of a deployment's load, in order of time. */
export const drawRequests = (
  deployment: deployments.Deployment,
): readonly DrawnRequest[] => {
  const random = fakes.createRandom(deployment.seed + 1);
  const {burst, durationMs} = deployment;
  const drawTokens = (mean: number, spread: number): number =>
    Math.max(
      1,
      Math.round(
        mean * Math.exp(spread * drawNormal(random) - spread ** 2 / 2),
      ),
    );
  const drawn = deployment.classes.flatMap(request => {
    const found: DrawnRequest[] = [];
    for (let atMs = 0; atMs < durationMs;) {
      const isBurst = atMs >= burst.atMs && atMs < burst.atMs + burst.forMs;
      const perSecond = request.perSecond * (isBurst ? burst.factor : 1);
      atMs += fakes.drawExponential(random, MS_PER_S / perSecond);
      const {spread} = request;
      found.push({
        id: `${request.name}-${found.length}`,
        atMs,
        instance: random(),
        class: request,
        prefixKey: `${request.name}/${Math.floor(random() * request.prefixCount)}`,
        prefixTokens: request.prefixTokens,
        suffixTokens: drawTokens(request.suffixTokens, spread),
        answerTokens: drawTokens(request.answerTokens, spread),
        difficulty: random(),
        confidenceError: drawNormal(random),
      });
    }
    return found;
  });
  return drawn.sort((a, b) => a.atMs - b.atMs);
};

/** A model's confidence in its answer, 0 to 100. */
const findConfidence = (
  {difficulty, confidenceError}: DrawnRequest,
  {quality}: deployments.EmulatedModel,
  deviation: number,
): number => {
  const mean = 50 + 100 * (quality - difficulty);
  return Math.min(
    100,
    Math.max(0, Math.round(mean + deviation * confidenceError)),
  );
};

const createPlacementRequest = (
  {get}: virtualFleet.VirtualInstance,
  drawn: DrawnRequest,
  model: string,
  isRepeat: boolean,
): gateway.PlacementRequest | undefined => {
  const table = get('state').activeTable()?.table;
  const route = table?.routes.find(({name}) => name === drawn.class.name);
  const service = table?.services.get(manifests.SERVICE);
  if (!route || !service) {
    return undefined;
  }
  const now = get('options').clock.now();
  const deadlineMs = now + drawn.class.timeoutMs;
  const caller = {
    id: drawn.id,
    method: 'POST',
    target: `/${route.name}/1`,
    host: manifests.HOST,
    headers: [],
    body: Buffer.alloc(0),
    apiKey: undefined,
    deadlineMs,
    receivedAtMs: now,
    session: undefined,
    lastEventId: undefined,
    generation: {
      promptTokens: drawn.prefixTokens + drawn.suffixTokens,
      maxTokens: 2 * drawn.answerTokens,
      expectedTokens: drawn.answerTokens,
      parts: [
        {id: drawn.prefixKey, tokens: drawn.prefixTokens},
        {id: drawn.id, tokens: drawn.suffixTokens},
      ],
    },
  };
  const request = {
    caller,
    route,
    service,
    workspace: undefined,
    deadlineMs,
    configuration: table?.version ?? 0,
  };
  const sends = isRepeat ? 1 : 0;
  return {
    request,
    purpose: isRepeat ? 'escalation' : 'first',
    model,
    excluded: new Set(),
    history: {
      sends,
      isCounted: isRepeat,
      isRepeat,
      hasUnreached: false,
      runs: sends,
    },
  };
};

/** One simulated load on one fleet. */
class Simulation {
  private readonly engines = new Map<string, emulatedEngine.EmulatedEngine>();
  private readonly outcome = {
    requests: 0,
    owed: 0,
    earned: 0,
    spent: 0,
    late: 0,
    lost: 0,
    weak: 0,
  };

  constructor(
    private readonly deployment: deployments.Deployment,
    private readonly fleet: virtualFleet.VirtualFleet,
  ) {}

  async run(): Promise<SimulationOutcome> {
    const {clock, live} = this.fleet;
    await this.registerEngines();
    await clock.advance(SETTLE_MS);
    const startMs = clock.now();
    let inProgress = 0;
    const due = [...drawRequests(this.deployment)];
    const running = live();
    while (due.length > 0) {
      await clock.advance(STEP_MS);
      while ((due[0]?.atMs ?? Infinity) <= clock.now() - startMs) {
        const drawn = due.shift();
        const index = Math.floor((drawn?.instance ?? 0) * running.length);
        const instance = running[index];
        if (drawn && instance) {
          inProgress++;
          void this.serve(instance, drawn).then(() => inProgress--);
        }
      }
    }
    while (inProgress > 0) {
      await clock.advance(DRAIN_STEP_MS);
    }
    return this.outcome;
  }

  private async registerEngines(): Promise<void> {
    const {clock, store} = this.fleet;
    const {engines, shape, slowdowns} = this.deployment;
    const created = Array.from({length: engines}, (_, index) => {
      const id = `engine-${index}`;
      this.engines.set(
        id,
        new emulatedEngine.EmulatedEngine(clock, shape, slowdowns[index] ?? 1),
      );
      const entry = manifests.createEngineEntry(index, this.deployment);
      return store.create(platform.STORE_KINDS.upstreams, id, entry);
    });
    await clock.advance(STEP_MS);
    await Promise.all(created);
  }

  private async serve(
    instance: virtualFleet.VirtualInstance,
    drawn: DrawnRequest,
  ): Promise<void> {
    const {clock} = this.fleet;
    const {models} = this.deployment;
    const [cheap, capable] = models as readonly [
      deployments.EmulatedModel,
      deployments.EmulatedModel,
    ];
    const startMs = clock.now();
    this.outcome.requests++;
    this.outcome.owed += drawn.class.worth;
    const first = await this.runModel(instance, drawn, cheap, false);
    if (!first) {
      this.outcome.lost++;
      return;
    }
    const answer = await this.escalate(instance, drawn, capable, first);
    if (!answer) {
      this.outcome.lost++;
      return;
    }
    const firstTokenMs = answer.firstTokenAtMs - startMs;
    const isWhole = await answer.finish();
    this.recordAnswer(drawn, answer.model, firstTokenMs, isWhole);
  }

  /**
   * Runs the capable model if the policy decides so and the run can be placed,
   * and returns the answer to use. Undefined if the capable model did not begin
   * in time: the cheap answer was cancelled when the run was placed.
   */
  private async escalate(
    instance: virtualFleet.VirtualInstance,
    drawn: DrawnRequest,
    capable: deployments.EmulatedModel,
    first: StartedAnswer,
  ): Promise<StartedAnswer | undefined> {
    const {confidenceDeviation} = this.deployment;
    const confidence = findConfidence(drawn, first.model, confidenceDeviation);
    const {get} = instance;
    const {runs} = get('escalationPolicy').decide(
      first.request,
      capable.name,
      confidence,
    );
    const second = runs
      ? await this.runModel(instance, drawn, capable, true, first.cancel)
      : undefined;
    return second ?? (first.isCancelled() ? undefined : first);
  }

  /**
   * Places a run and waits for its first token. Undefined if no run could be
   * placed or the token did not come within the timeout.
   */
  private async runModel(
    {get, ...instance}: virtualFleet.VirtualInstance,
    drawn: DrawnRequest,
    model: deployments.EmulatedModel,
    isRepeat: boolean,
    onPlaced: () => void = () => undefined,
  ): Promise<StartedAnswer | undefined> {
    const {clock} = this.fleet;
    const placementRequest = createPlacementRequest(
      {get, ...instance},
      drawn,
      model.name,
      isRepeat,
    );
    const placed =
      placementRequest && get('placement').place(placementRequest).toMaybe();
    const attempt = placed?.extractNullable();
    const engine = attempt && this.engines.get(attempt.upstream.id);
    if (!placementRequest || !attempt || !engine) {
      return undefined;
    }
    onPlaced();
    const startedAtMs = clock.now();
    const {prefixTokens, suffixTokens, answerTokens, prefixKey} = drawn;
    const run = engine.start({
      model,
      prefixKey,
      prefixTokens,
      suffixTokens,
      answerTokens,
    });
    const isBegun = await settlesWithin(
      clock,
      run.firstToken,
      drawn.class.timeoutMs,
    );
    const waitMs = clock.now() - startedAtMs;
    get('escalationPolicy').recordWait(
      placementRequest.request,
      model.name,
      waitMs,
      !isBegun,
    );
    const promptCost = PROMPT_PRICE_FRACTION * (prefixTokens + suffixTokens);
    this.addCost(model, promptCost);
    if (!isBegun) {
      run.cancel();
      attempt.settle('failed');
      return undefined;
    }
    attempt.recordHead();
    let isCancelled = false;
    return {
      model,
      request: placementRequest.request,
      firstTokenAtMs: clock.now(),
      isCancelled: () => isCancelled,
      cancel: () => {
        isCancelled = true;
        run.cancel();
        attempt.settle('answered');
      },
      finish: async () => {
        const isWhole = await settlesWithin(
          clock,
          run.done,
          drawn.class.timeoutMs * 2,
        );
        run.cancel();
        attempt.settle(isWhole ? 'answered' : 'failed');
        this.addCost(model, answerTokens);
        return isWhole;
      },
    };
  }

  private addCost({cost}: deployments.EmulatedModel, tokens: number): void {
    this.outcome.spent += (cost * tokens) / MS_PER_S;
  }

  private recordAnswer(
    drawn: DrawnRequest,
    model: deployments.EmulatedModel,
    firstTokenMs: number,
    isWhole: boolean,
  ): void {
    const {worth, lateWorth, latencyTargetMs} = drawn.class;
    const isLate = firstTokenMs > latencyTargetMs;
    const isWeak = drawn.difficulty > model.quality;
    if (!isWhole) {
      this.outcome.lost++;
      return;
    }
    this.outcome.late += isLate ? 1 : 0;
    this.outcome.weak += isWeak ? 1 : 0;
    this.outcome.earned +=
      (isLate ? lateWorth : worth) * (isWeak ? WEAK_VALUE_FRACTION : 1);
  }
}

/** An answer whose first token has arrived. */
interface StartedAnswer {
  readonly model: deployments.EmulatedModel;
  readonly request: gateway.AcceptedRequest;
  readonly firstTokenAtMs: number;
  readonly cancel: () => void;
  readonly isCancelled: () => boolean;
  /** Waits for the end; returns whether it came in time. */
  readonly finish: () => Promise<boolean>;
}

/** Returns whether `event` resolves within `ms` of virtual time. */
const settlesWithin = async (
  clock: ports.Clock,
  event: Promise<void>,
  ms: number,
): Promise<boolean> => {
  const timeout = new AbortController();
  const isSettled = await Promise.race([
    event.then(() => true),
    clock.sleep(ms, timeout.signal).then(() => false),
  ]);
  timeout.abort('over');
  return isSettled;
};

/** Simulates a deployment's load under a policy. */
export const runSimulation = async (
  deployment: deployments.Deployment,
  policy: policies.PolicyName,
): Promise<SimulationOutcome> => {
  const fleet = await virtualFleet.startVirtualFleet({
    instances: deployment.instances,
    zones: deployment.zones,
    seed: deployment.seed,
    bounds: manifests.BOUNDS,
    manifest: manifests.createManifest(deployment),
    overrides: policies.findOverrides(policy),
  });
  return new Simulation(deployment, fleet).run();
};
