/** Counts the calls of a deployment of today's size to the object API by kind. */
import type * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import type * as figures from '../figure.js';
import * as callCounter from '../models/call-counter.js';
import * as sampleDocument from '../models/sample-document.js';
import * as virtualDeployment from '../models/virtual-deployment.js';
import * as seededRandom from '@amaranthknot/fakes';

const INSTANCES = 7;
const ZONES = ['a', 'b', 'c', 'd'];

const WARM_UP_MS = 15_000;
const IDLE_MS = 30_000;
const LOAD_MS = 40_000;
const ROLLOUT_MS = 30_000;
const OUTAGE_MS = 60_000;
const AFTER_MS = 30_000;

/** Requests per second at the daily peak, and the share that must run once. */
const REQUESTS_PER_S = 60;
const CLAIMED_SHARE = 0.05;

/** Time between the steps of a rollout; each step changes the document. */
const STEP_MS = 5_000;

/**
 * Bound on the calls in any second of and after an outage, as a ratio to the
 * steady rate. It excludes that all instances call at once when the platform
 * returns.
 */
const MAX_PEAK_RATIO = 2;

interface Phase {
  readonly name: string;
  readonly seconds: readonly callCounter.SecondOfCalls[];
}

const peakOf = ({seconds}: Phase): number =>
  Math.max(...seconds.map(callCounter.sumSecond));

const meanOf = ({seconds}: Phase): number =>
  seconds.reduce((sum, second) => sum + callCounter.sumSecond(second), 0) /
  seconds.length;

/** A deployment that is taken through one phase after the other. */
class Scenario {
  readonly deployment: virtualDeployment.VirtualDeployment;
  private document = sampleDocument.createSampleDocument();

  constructor(private readonly random: () => number) {
    this.deployment = new virtualDeployment.VirtualDeployment(random, ZONES);
  }

  async start(): Promise<void> {
    this.publish(this.document);
    await this.deployment.clock.advance(1_000);
    this.deployment.start(INSTANCES);
    await this.deployment.clock.advance(WARM_UP_MS - 1_000);
  }

  async idle(name: string, ms: number): Promise<Phase> {
    return await this.measure(name, () => this.deployment.clock.advance(ms));
  }

  async load(name: string, ms: number, everyMs = Infinity): Promise<Phase> {
    return await this.measure(name, () => this.drive(ms, everyMs));
  }

  private async measure(
    name: string,
    run: () => Promise<void>,
  ): Promise<Phase> {
    const {clock, counter} = this.deployment;
    const from = clock.now();
    await run();
    return {name, seconds: counter.countsBetween(from, clock.now())};
  }

  /** Sends requests, and changes the document every `changeMs`. */
  private async drive(ms: number, changeMs: number): Promise<void> {
    const {deployment, random} = this;
    const steps = (ms / 1_000) * REQUESTS_PER_S;
    let nextChange = changeMs;
    for (let step = 0; step < steps; step++) {
      void deployment.request(random() < CLAIMED_SHARE);
      await deployment.clock.advance(1_000 / REQUESTS_PER_S);
      if ((step * 1_000) / REQUESTS_PER_S >= nextChange) {
        nextChange += changeMs;
        this.document = sampleDocument.changeDocument(this.document, random);
        this.publish(this.document);
      }
    }
  }

  private publish(document: configuration.Document): void {
    void membership.publishDocument(
      this.deployment.store,
      virtualDeployment.ENVIRONMENT,
      document,
    );
  }
}

const describePhase = (phase: Phase): readonly figures.Figure[] => [
  {figure: `${phase.name}_mean`, value: meanOf(phase), unit: 'calls/s'},
  {figure: `${phase.name}_peak`, value: peakOf(phase), unit: 'calls/s'},
  ...callCounter.meanByKind(phase.seconds).map(([kind, value]) => ({
    figure: `${phase.name}_${kind}`,
    value,
    unit: 'calls/s',
  })),
];

/** Compares calls when idle, under load, in a rollout and around an outage. */
export const bench: figures.Bench = {
  summary: 'calls to the object API by kind: idle, load, roll-out, outage',
  run: async seed => {
    const scenario = new Scenario(seededRandom.createRandom(seed));
    const {deployment} = scenario;
    await scenario.start();
    const idle = await scenario.idle('idle', IDLE_MS);
    const load = await scenario.load('load', LOAD_MS);
    const rollout = await scenario.load('rollout', ROLLOUT_MS, STEP_MS);
    deployment.isOut = true;
    const outage = await scenario.load('outage', OUTAGE_MS);
    deployment.isOut = false;
    const after = await scenario.load('after', AFTER_MS);
    deployment.stop();
    await deployment.clock.advance(1_000);
    const steady = meanOf(load);
    return [
      ...[idle, load, rollout, outage, after].flatMap(describePhase),
      {
        figure: 'outage_peak_to_steady',
        value: peakOf(outage) / steady,
        unit: 'ratio',
        baseline: peakOf(load) / steady,
        target: MAX_PEAK_RATIO,
        direction: 'at_most',
      },
      {
        figure: 'after_peak_to_steady',
        value: peakOf(after) / steady,
        unit: 'ratio',
        baseline: peakOf(load) / steady,
        target: MAX_PEAK_RATIO,
        direction: 'at_most',
      },
    ];
  },
};
