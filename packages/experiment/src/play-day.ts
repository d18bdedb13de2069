/**
 * Plays the load of a deployment on whole instances in virtual time: they place
 * requests and judge cheap answers by their own parts, and emulated engines run
 * them. What an instance does over connections (hedges, silent streams, broken
 * answers) is not played.
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

/** What callers of one day got. */
export interface DayOutcome {
  readonly requests: number;
  /** Worth of all requests, and what was earned of it. */
  readonly owed: number;
  readonly earned: number;
  /** Price of the models that ran. */
  readonly spent: number;
  readonly late: number;
  /** Nothing was answered within the caller's patience. */
  readonly lost: number;
  /** Answers that were too hard for the model that gave them. */
  readonly weak: number;
}

/** Part of its worth that an answer has which was too hard for its model. */
const WEAK_PART = 0.05;

/** Time in which the fleet gets to know itself before the load, in ms. */
const SETTLE_MS = 4_000;

/** Steps in which the end of the last answers is waited for, in ms. */
const TAIL_STEP_MS = 1_000;

/** Step of the load, in milliseconds. */
const STEP_MS = 10;

const MS_PER_S = 1_000;

/** Price of a prompt's token against a generated one. */
const READ_PRICE = 0.25;

/** A request as it was drawn, the same under each policy. */
interface DrawnRequest {
  readonly id: string;
  readonly atMs: number;
  /** 0 to 1: which instance takes it. */
  readonly instance: number;
  readonly class: deployments.RequestClass;
  readonly subject: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly answerTokens: number;
  /** 0 to 1; a model with less quality answers badly. */
  readonly hardness: number;
  /** Error of a model's opinion, standard normal. */
  readonly opinion: number;
}

const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** All requests of a day, in order of time. */
export const drawRequests = (
  deployment: deployments.Deployment,
): readonly DrawnRequest[] => {
  const random = fakes.createRandom(deployment.seed + 1);
  const {burst, lengthMs} = deployment;
  const drawTokens = (mean: number, spread: number): number =>
    Math.max(
      1,
      Math.round(
        mean * Math.exp(spread * drawNormal(random) - spread ** 2 / 2),
      ),
    );
  const drawn = deployment.classes.flatMap(request => {
    const found: DrawnRequest[] = [];
    for (let atMs = 0; atMs < lengthMs;) {
      const isBurst = atMs >= burst.atMs && atMs < burst.atMs + burst.forMs;
      const perSecond = request.perSecond * (isBurst ? burst.factor : 1);
      atMs += fakes.drawExponential(random, MS_PER_S / perSecond);
      const {spread} = request;
      found.push({
        id: `${request.name}-${found.length}`,
        atMs,
        instance: random(),
        class: request,
        subject: `${request.name}/${Math.floor(random() * request.subjects)}`,
        sharedTokens: request.sharedTokens,
        ownTokens: drawTokens(request.ownTokens, spread),
        answerTokens: drawTokens(request.answerTokens, spread),
        hardness: random(),
        opinion: drawNormal(random),
      });
    }
    return found;
  });
  return drawn.sort((a, b) => a.atMs - b.atMs);
};

/** What a model thinks of its answer, 0 to 100. */
const findConfidence = (
  {hardness, opinion}: DrawnRequest,
  {quality}: deployments.EmulatedModel,
  deviation: number,
): number => {
  const middle = 50 + 100 * (quality - hardness);
  return Math.min(100, Math.max(0, Math.round(middle + deviation * opinion)));
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
  const deadlineMs = now + drawn.class.patienceMs;
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
      promptTokens: drawn.sharedTokens + drawn.ownTokens,
      maxTokens: 2 * drawn.answerTokens,
      expectedTokens: drawn.answerTokens,
      parts: [
        {id: drawn.subject, tokens: drawn.sharedTokens},
        {id: drawn.id, tokens: drawn.ownTokens},
      ],
    },
  };
  const request = {caller, route, service, workspace: undefined, deadlineMs};
  return {request, model, excluded: new Set(), isRepeat};
};

/** One day on one fleet. */
class Day {
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

  async play(): Promise<DayOutcome> {
    const {clock, live} = this.fleet;
    await this.registerEngines();
    await clock.advance(SETTLE_MS);
    const startMs = clock.now();
    let open = 0;
    const due = [...drawRequests(this.deployment)];
    const running = live();
    while (due.length > 0) {
      await clock.advance(STEP_MS);
      while ((due[0]?.atMs ?? Infinity) <= clock.now() - startMs) {
        const drawn = due.shift();
        const place = Math.floor((drawn?.instance ?? 0) * running.length);
        const instance = running[place];
        if (drawn && instance) {
          open++;
          void this.serve(instance, drawn).then(() => open--);
        }
      }
    }
    while (open > 0) {
      await clock.advance(TAIL_STEP_MS);
    }
    return this.outcome;
  }

  private async registerEngines(): Promise<void> {
    const {clock, store} = this.fleet;
    const {engines, shape, slowness} = this.deployment;
    const created = Array.from({length: engines}, (_, index) => {
      const id = `engine-${index}`;
      this.engines.set(
        id,
        new emulatedEngine.EmulatedEngine(clock, shape, slowness[index] ?? 1),
      );
      const entry = manifests.createEntry(index, this.deployment);
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
    const first = await this.run(instance, drawn, cheap, false);
    if (!first) {
      this.outcome.lost++;
      return;
    }
    const answer = await this.escalate(instance, drawn, capable, first);
    if (!answer) {
      this.outcome.lost++;
      return;
    }
    const firstTokenMs = answer.begunAtMs - startMs;
    const isWhole = await answer.finish();
    this.note(drawn, answer.model, firstTokenMs, isWhole);
  }

  /**
   * Runs the capable model where the cheap answer is judged too weak and one
   * can be placed. Undefined where it did not begin in time: the cheap answer
   * was given up by then.
   */
  private async escalate(
    instance: virtualFleet.VirtualInstance,
    drawn: DrawnRequest,
    capable: deployments.EmulatedModel,
    first: BegunAnswer,
  ): Promise<BegunAnswer | undefined> {
    const {opinionDeviation} = this.deployment;
    const confidence = findConfidence(drawn, first.model, opinionDeviation);
    const {get} = instance;
    const {runs} = get('capable').decide(
      first.request,
      capable.name,
      confidence,
    );
    const second = runs
      ? await this.run(instance, drawn, capable, true, first.giveUp)
      : undefined;
    return second ?? (first.isGivenUp() ? undefined : first);
  }

  /**
   * Places a run and waits for its first token; undefined where none could be
   * placed, or the caller has lost its patience.
   */
  private async run(
    {get, ...instance}: virtualFleet.VirtualInstance,
    drawn: DrawnRequest,
    model: deployments.EmulatedModel,
    isRepeat: boolean,
    onPlaced: () => void = () => undefined,
  ): Promise<BegunAnswer | undefined> {
    const {clock} = this.fleet;
    const wanted = createPlacementRequest(
      {get, ...instance},
      drawn,
      model.name,
      isRepeat,
    );
    const placed = wanted && get('placement').place(wanted).toMaybe();
    const tried = placed?.extractNullable();
    const engine = tried && this.engines.get(tried.upstream.id);
    if (!wanted || !tried || !engine) {
      return undefined;
    }
    onPlaced();
    const startedAtMs = clock.now();
    const {sharedTokens, ownTokens, answerTokens, subject} = drawn;
    const run = engine.start({
      model,
      subject,
      sharedTokens,
      ownTokens,
      answerTokens,
    });
    const isBegun = await within(clock, run.begun, drawn.class.patienceMs);
    const waitMs = clock.now() - startedAtMs;
    get('capable').recordWait(wanted.request, model.name, waitMs, !isBegun);
    const readCost = READ_PRICE * (sharedTokens + ownTokens);
    this.spend(model, readCost);
    if (!isBegun) {
      run.cancel();
      tried.settle('failed');
      return undefined;
    }
    tried.recordHead();
    let isGivenUp = false;
    return {
      model,
      request: wanted.request,
      begunAtMs: clock.now(),
      isGivenUp: () => isGivenUp,
      giveUp: () => {
        isGivenUp = true;
        run.cancel();
        tried.settle('answered');
      },
      finish: async () => {
        const isWhole = await within(
          clock,
          run.done,
          drawn.class.patienceMs * 2,
        );
        run.cancel();
        tried.settle(isWhole ? 'answered' : 'failed');
        this.spend(model, answerTokens);
        return isWhole;
      },
    };
  }

  private spend({cost}: deployments.EmulatedModel, tokens: number): void {
    this.outcome.spent += (cost * tokens) / MS_PER_S;
  }

  private note(
    drawn: DrawnRequest,
    model: deployments.EmulatedModel,
    firstTokenMs: number,
    isWhole: boolean,
  ): void {
    const {worth, lateWorth, latencyTargetMs} = drawn.class;
    const isLate = firstTokenMs > latencyTargetMs;
    const isWeak = drawn.hardness > model.quality;
    if (!isWhole) {
      this.outcome.lost++;
      return;
    }
    this.outcome.late += isLate ? 1 : 0;
    this.outcome.weak += isWeak ? 1 : 0;
    this.outcome.earned +=
      (isLate ? lateWorth : worth) * (isWeak ? WEAK_PART : 1);
  }
}

/** An answer whose first token has come. */
interface BegunAnswer {
  readonly model: deployments.EmulatedModel;
  readonly request: gateway.AcceptedRequest;
  readonly begunAtMs: number;
  readonly giveUp: () => void;
  readonly isGivenUp: () => boolean;
  /** Waits for its end; says whether it came in time. */
  readonly finish: () => Promise<boolean>;
}

/** Whether something happens within so many milliseconds. */
const within = async (
  clock: ports.Clock,
  event: Promise<void>,
  ms: number,
): Promise<boolean> => {
  const waiting = new AbortController();
  const isIn = await Promise.race([
    event.then(() => true),
    clock.sleep(ms, waiting.signal).then(() => false),
  ]);
  waiting.abort('over');
  return isIn;
};

/** Plays a deployment's load under a policy. */
export const playDay = async (
  deployment: deployments.Deployment,
  policy: policies.PolicyName,
): Promise<DayOutcome> => {
  const fleet = await virtualFleet.startVirtualFleet({
    instances: deployment.instances,
    zones: deployment.zones,
    seed: deployment.seed,
    bounds: manifests.BOUNDS,
    manifest: manifests.createManifest(deployment),
    overrides: policies.findOverrides(policy),
  });
  return new Day(deployment, fleet).play();
};
