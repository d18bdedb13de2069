/**
 * Runs one seed against a whole system of real processes: the artefact as the
 * deploy file starts it, at a load that is mostly served.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as deployedArtefact from '../artefact/deployed-artefact.js';
import type * as processFields from '../artefact/process-fields.js';
import * as processEnds from '../check-process-ends.js';
import type * as invariants from '../invariants.js';
import * as listening from '../is-listening.js';
import * as documents from '../soak-documents.js';
import * as checkRequests from './check-requests.js';
import * as checkService from './check-service.js';
import * as injection from './inject-process-fault.js';
import * as processFaults from './process-faults.js';
import type * as requestRecord from './request-record.js';
import * as request from './send-request.js';
import * as systemInstance from './system-instance.js';
import * as watchDelays from './watch-delays.js';
import * as workCallers from './work-callers.js';
import * as workUpstream from './work-upstream.js';

/** Options of one run. */
export interface ProcessRunOptions {
  readonly seed: number;
  readonly instances: number;
  /** Period in which faults start, in milliseconds. */
  readonly durationMs: number;
}

/** Result of one run. */
export interface ProcessRunResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly processFaults.ProcessFault[];
  readonly violations: readonly invariants.Violation[];
  /** Processes that SIGHUP ended before they listened anywhere. */
  readonly earlyHangups: number;
  /** Processes that were started. */
  readonly starts: number;
  /** Most resident memory of a process, in bytes. */
  readonly peakBytes: number;
  /** Folder with the logs of all processes. */
  readonly folder: string;
}

/** Bounds and limits of the small deployments. */
const GRACE_MS = 8_000;
const LOSS_SLACK_MS = 200;
const MEMORY_MB = 350;

const BYTES_PER_MB = 1_048_576;

/** Time for instances that listen to find all upstreams, in milliseconds. */
const START_MS = 2_000;

/** Time after which instances that don't listen are not waited for, in ms. */
const LISTEN_MS = 10_000;

/** Time between two looks whether they listen, in milliseconds. */
const LISTEN_CHECK_MS = 100;

/** Period without faults whose load must be served, in milliseconds. */
const CALM_MS = 2_000;

/** Time after the last fault before recovery is checked, in milliseconds. */
const SETTLE_MS = 6_000;

/** Time between two looks at the memory of the processes, in milliseconds. */
const MEMORY_CHECK_MS = 100;

/** Concurrent callers: some for each instance, within what one process bears. */
const CALLERS = {perInstance: 8, max: 160};

/** Large bodies that are sent at once. */
const LARGE_REQUESTS = 150;

/** Requests that an upstream says it processes at a time. */
const SLOTS = 32;

const KEY = 'key-1';

/** One in so many seeds has all instances at one IP address. */
const SAME_ADDRESS_SEEDS = 5;

/** First number of the last byte of the instances' IP addresses. */
const FIRST_HOST = 10;

/** Number of third bytes, so that runs beside each other differ. */
const NETS = 250;

let runs = 0;

const {configuration: CONFIGURATION, upstreams: UPSTREAMS} =
  platform.STORE_KINDS;

const drawPorts = async (): Promise<processFields.ProcessPlace['ports']> => [
  await fakes.drawFreePort(),
  await fakes.drawFreePort(),
  await fakes.drawFreePort(),
  await fakes.drawFreePort(),
];

/** One run of one seed. */
class ProcessRun {
  private readonly clock = ports.systemClock;
  private readonly random: () => number;
  private readonly folder = fs.mkdtempSync(
    path.join(os.tmpdir(), 'amaranthknot-processes-'),
  );
  private readonly storeServer = new fakes.ObjectApiServer(this.clock);
  private readonly upstreams: fakes.ScriptedUpstream[] = [];
  private instances: readonly systemInstance.SystemInstance[] = [];
  private readonly runs: requestRecord.WorkRun[] = [];
  private readonly delays: checkRequests.Span[] = [];
  private version = 1;

  constructor(private readonly options: ProcessRunOptions) {
    this.random = fakes.createRandom(options.seed);
  }

  async run(): Promise<ProcessRunResult> {
    const {seed, durationMs, instances} = this.options;
    const faults = processFaults.drawProcessFaults(this.random, durationMs);
    deployedArtefact.buildArtefact();
    const stopWatching = watchDelays.watchDelays(this.delays);
    const memory = setInterval(() => {
      this.instances.forEach(({process}) => {
        process.checkMemory(MEMORY_MB * BYTES_PER_MB);
      });
    }, MEMORY_CHECK_MS);
    try {
      await this.start();
      const callers = new workCallers.WorkCallers({
        instances: this.instances,
        callers: Math.min(CALLERS.max, instances * CALLERS.perInstance),
        key: KEY,
        random: this.random,
      });
      await this.waitUntilListening();
      await this.clock.sleep(START_MS);
      callers.start();
      const calmFromMs = this.clock.now();
      await this.clock.sleep(CALM_MS);
      const calmToMs = this.clock.now();
      await this.injectFaults(faults, callers);
      await this.clock.sleep(SETTLE_MS);
      const recoveryFromMs = this.clock.now();
      await this.clock.sleep(CALM_MS);
      await callers.stop();
      const {records} = callers;
      const calm = {fromMs: calmFromMs, toMs: calmToMs};
      const recovery = {fromMs: recoveryFromMs, toMs: Infinity};
      return {
        ...this.collect(records),
        seed,
        faults,
        violations: [
          ...this.findViolations(records),
          ...checkService.findUnserved('calm load is served', records, calm),
          ...checkService.findUnserved(
            'load is served again after the faults',
            records,
            recovery,
          ),
          ...(await this.findLost()),
        ],
      };
    } finally {
      clearInterval(memory);
      stopWatching();
      await this.stop();
    }
  }

  private collect(records: readonly requestRecord.RequestRecord[]) {
    const lives = this.instances.flatMap(({process}) => process.lives);
    const peaks = this.instances.map(({process}) => process.peakBytes);
    return {
      requests: records.length,
      served: records.filter(checkService.isServed).length,
      earlyHangups: lives.filter(processEnds.isEarlyHangup).length,
      starts: lives.length,
      peakBytes: Math.max(...peaks),
      folder: this.folder,
    };
  }

  private findViolations(
    requests: readonly requestRecord.RequestRecord[],
  ): readonly invariants.Violation[] {
    const lives = this.instances.flatMap(({process}) => process.lives);
    const failures = checkRequests.findRequestFailures({
      requests,
      runs: this.runs,
      delays: this.delays,
      graceMs: GRACE_MS,
      lossSlackMs: LOSS_SLACK_MS,
      timeoutMs: request.REQUEST_TIMEOUT_MS,
    });
    return [...processEnds.findProcessEnds(lives), ...failures];
  }

  /** Instances that don't listen, and configurations that are gone. */
  private async findLost(): Promise<readonly invariants.Violation[]> {
    const {store} = this.storeServer;
    const found = await store.get(CONFIGURATION, platform.CONFIGURATION_NAME);
    const kept = found.map(({value}) => value).extract();
    return checkService.findLost({
      silent: this.findSilent().map(({process}) => process.id),
      acknowledgedVersion: this.version,
      kept,
    });
  }

  private findSilent(): readonly systemInstance.SystemInstance[] {
    return this.instances.filter(
      ({address}) => !listening.isListening(address),
    );
  }

  private async waitUntilListening(): Promise<void> {
    const untilMs = this.clock.now() + LISTEN_MS;
    while (this.findSilent().length > 0 && this.clock.now() < untilMs) {
      await this.clock.sleep(LISTEN_CHECK_MS);
    }
  }

  private async start(): Promise<void> {
    await this.storeServer.start();
    await this.storeServer.store.create(
      CONFIGURATION,
      platform.CONFIGURATION_NAME,
      documents.createManifest(this.version, [KEY], request.REQUEST_TIMEOUT_MS),
    );
    for (let i = 0; i < this.options.instances; i++) {
      await this.addUpstream(`u-${i}`);
    }
    await this.createInstances();
    this.instances.forEach(({process}) => {
      process.start();
    });
  }

  private async addUpstream(id: string): Promise<void> {
    const script = workUpstream.createWorkScript(id, this.random, this.runs);
    const upstream = new fakes.ScriptedUpstream(exchange => {
      // Large bodies are not kept.
      upstream.requests.length = 0;
      script(exchange);
    });
    this.upstreams.push(upstream);
    await upstream.start();
    const entry = documents.createEntry(upstream.address, 'ready') as object;
    await this.storeServer.store.create(UPSTREAMS, id, {
      ...entry,
      slots: SLOTS,
    });
  }

  private async createInstances(): Promise<void> {
    const {seed, instances} = this.options;
    const isSameAddress = seed % SAME_ADDRESS_SEEDS === 0;
    const net = 1 + ((process.pid + runs++) % NETS);
    const shared = await drawPorts();
    const places: processFields.ProcessPlace[] = [];
    for (let i = 0; i < instances; i++) {
      const host = FIRST_HOST + (isSameAddress ? 0 : i);
      places.push({
        id: `instance-${i}`,
        ip: `127.0.${net}.${host}`,
        zone: 'zone-a',
        ports: isSameAddress ? await drawPorts() : shared,
      });
    }
    const deployment: processFields.DeploymentFields = {
      zones: ['zone-a'],
      store: this.storeServer.address,
      seeds: places.slice(0, 3).map(place => `${place.ip}:${place.ports[3]}`),
      memoryMb: MEMORY_MB,
    };
    this.instances = places.map(
      place =>
        new systemInstance.SystemInstance(place, deployment, this.folder),
    );
  }

  private async injectFaults(
    faults: readonly processFaults.ProcessFault[],
    callers: workCallers.WorkCallers,
  ): Promise<void> {
    const system: injection.HarmedSystem = {
      instances: this.instances,
      graceMs: GRACE_MS,
      changeConfiguration: () => this.changeConfiguration(),
      sendLarge: instance => callers.sendLarge(instance, LARGE_REQUESTS),
    };
    const startedAt = this.clock.now();
    const inProgress: Promise<void>[] = [];
    for (const fault of faults) {
      await this.clock.sleep(startedAt + fault.atMs - this.clock.now());
      inProgress.push(injection.injectProcessFault(system, fault));
    }
    await Promise.all(inProgress);
  }

  private async changeConfiguration(): Promise<void> {
    const {store} = this.storeServer;
    const name = platform.CONFIGURATION_NAME;
    const found = await store.get(CONFIGURATION, name);
    this.version += 3;
    const manifest = documents.createManifest(
      this.version,
      [KEY],
      request.REQUEST_TIMEOUT_MS,
    );
    const {version} = found.unsafeCoerce();
    await store.update(CONFIGURATION, name, manifest, version);
  }

  private async stop(): Promise<void> {
    await Promise.all(this.instances.map(({process}) => process.terminate()));
    this.instances.forEach(({log}) => {
      log?.close();
    });
    await Promise.all(this.upstreams.map(upstream => upstream.stop()));
    await this.storeServer.stop();
  }
}

/** Runs one seed; resolves when all its processes have ended. */
export const runProcesses = (
  options: ProcessRunOptions,
): Promise<ProcessRunResult> => new ProcessRun(options).run();
