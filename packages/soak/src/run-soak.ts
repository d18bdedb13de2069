/**
 * Runs one seed: starts fakes, gateway processes and load, injects faults, and
 * checks the invariants on what was recorded.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import type * as checkNotices from './check-notices.js';
import type * as checkWholeAnswers from './check-whole-answers.js';
import * as loadGenerator from './load-generator.js';
import * as deployedArtefact from './artefact/deployed-artefact.js';
import * as processEnds from './check-process-ends.js';
import * as coldFaults from './cold-faults.js';
import * as crashFaults from './crash-faults.js';
import * as soakCommand from './create-soak-command.js';
import * as faultPlan from './fault-plan.js';
import * as gatewayProcess from './gateway-process.js';
import * as invariants from './invariants.js';
import * as killFaults from './kill-faults.js';
import * as leaveFaults from './leave-faults.js';
import * as linkFaults from './link-faults.js';
import * as documents from './soak-documents.js';
import * as soakUpstream from './soak-upstream.js';

/** Options of one run. */
export interface SoakOptions {
  readonly seed: number;
  readonly instances: number;
  readonly upstreams: number;
  /** Period in which faults start, in milliseconds. */
  readonly durationMs: number;
  /** The only faults, so that no others excuse an instance; all by default. */
  readonly only?:
    | 'links'
    | 'fatal_part'
    | 'cold'
    | 'kills'
    | 'leaving_callers'
    | 'repeats'
    | undefined;
}

/** Result of one run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly faultPlan.Fault[];
  readonly violations: readonly invariants.Violation[];
  /** Processes that SIGHUP ended before they listened anywhere. */
  readonly earlyHangups: number;
  /** Folder with the logs of all processes. */
  readonly folder: string;
}

/**
 * Time after the last fault before recovery is checked, in milliseconds: a
 * process starts in about two seconds, and expired shares and ejections take
 * as long again.
 */
const SETTLE_MS = 6_000;

/** Period of load that is checked for recovery, in milliseconds. */
const RECOVERY_CHECK_MS = 2_000;

const {configuration: CONFIGURATION, upstreams: UPSTREAMS} =
  platform.STORE_KINDS;

const KEYS: readonly string[] = ['key-1', 'key-2', 'key-3', 'key-4'];

const drawAddress = async (): Promise<string> =>
  `127.0.0.1:${await fakes.drawFreePort()}`;

/** Starts a server with a proxy before it. */
const startServer = async (
  script: fakes.UpstreamScript,
  port = 0,
): Promise<Pick<Upstream, 'server' | 'proxy'>> => {
  const server = new fakes.ScriptedUpstream(script);
  await server.start();
  const proxy = new fakes.LoopbackProxy(server.address);
  await proxy.start(port);
  return {server, proxy};
};

interface Instance {
  readonly process: gatewayProcess.GatewayProcess;
  readonly storeProxy: fakes.LoopbackProxy;
  /** Address for callers. */
  readonly address: string;
  /** IP address from which it calls upstreams. */
  readonly source: string;
}

interface Upstream {
  readonly index: number;
  /** Number of its starts so far. */
  starts: number;
  readonly state: soakUpstream.SoakUpstreamState;
  readonly script: fakes.UpstreamScript;
  server: fakes.ScriptedUpstream;
  proxy: fakes.LoopbackProxy;
}

/** One run of one seed. */
class Soak {
  private readonly clock = ports.systemClock;
  private readonly random: () => number;
  private readonly folder: string;
  private readonly storeServer = new fakes.ObjectApiServer(this.clock);
  private readonly instances: Instance[] = [];
  private readonly upstreams: Upstream[] = [];
  private readonly runs: invariants.RunRecord[] = [];
  /** Servers of upstreams that have ended under a request. */
  private readonly ended = new Set<fakes.ScriptedUpstream>();
  private readonly revocations: invariants.Revocation[] = [];
  private readonly arrivals: checkNotices.Arrival[] = [];
  private readonly notices: checkNotices.Notice[] = [];
  private readonly disruptions: checkNotices.Disruption[] = [];
  private readonly linkFaults = new linkFaults.LinkFaults(
    this.clock,
    this.upstreams,
  );
  private readonly crashFaults = new crashFaults.CrashFaults({
    clock: this.clock,
    random: () => this.random(),
    instances: () => this.instances.map(({address}) => address),
  });
  private readonly killFaults = new killFaults.KillFaults({
    clock: this.clock,
    instances: () => this.instances.map(({address}) => address),
  });
  private readonly leaveFaults = new leaveFaults.LeaveFaults({
    clock: this.clock,
    findKey: () => this.keys.at(-1) ?? '',
  });
  private readonly coldFaults = new coldFaults.ColdFaults({
    clock: this.clock,
    random: () => this.random(),
    isDown: ({proxy}) =>
      this.upstreams.some(
        upstream => upstream.proxy === proxy && this.ended.has(upstream.server),
      ),
    writeEntry: upstream => this.writeColdEntry(upstream),
  });
  private readonly whole: checkWholeAnswers.WholeAnswer[] = [];
  private readonly failuresMs: number[] = [];
  /** Faults in which an instance may serve nobody. */
  private readonly outages: checkNotices.Disruption[] = [];
  private keys = KEYS;
  private version = 1;
  private load: loadGenerator.LoadGenerator | undefined;

  constructor(private readonly options: SoakOptions) {
    this.random = fakes.createRandom(options.seed);
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'amaranthknot-soak-'));
  }

  private get retryLimit(): documents.RetryLimit {
    return this.options.only === 'repeats'
      ? documents.LOW_RETRY_LIMIT
      : documents.RETRY_LIMIT;
  }

  async run(): Promise<SoakResult> {
    const {seed} = this.options;
    const faults = this.drawFaults();
    try {
      await this.start();
      const load = this.load;
      if (!load) {
        throw new Error('the soak started without a load generator');
      }
      await this.injectFaults(faults);
      this.clearFaults();
      await this.clock.sleep(SETTLE_MS);
      const recoveryFromMs = this.clock.now();
      await this.clock.sleep(RECOVERY_CHECK_MS);
      await load.stop();
      const violations = invariants.findViolations({
        callers: load.records,
        runs: this.runs,
        revocations: this.revocations,
        notices: {
          arrivals: this.arrivals,
          notices: this.notices,
          disruptions: [...this.disruptions, ...this.killFaults.kills],
        },
        links: {
          cuts: this.linkFaults.cuts,
          fragileTimes: this.linkFaults.fragileTimes,
          failuresMs: this.failuresMs,
          upstreams: this.upstreams.length,
          disruptions: [
            ...this.outages,
            ...this.crashFaults.outages,
            ...this.killFaults.outages,
          ],
          instances: this.instances.map(({address}) => address),
        },
        fatalPart: {
          arrivals: this.crashFaults.arrivals,
          endsMs: this.crashFaults.endsMs,
          disruptions: [
            ...this.outages,
            ...this.disruptions,
            ...this.killFaults.outages,
            ...this.killFaults.kills,
          ],
        },
        cold: {arrivals: this.arrivals, returns: this.coldFaults.returns},
        left: {callers: this.leaveFaults.left, arrivals: this.arrivals},
        repeats: {arrivals: this.arrivals, limit: this.retryLimit},
        whole:
          this.options.only === 'kills'
            ? {answers: this.whole, kills: this.killFaults.kills}
            : undefined,
        recoveryFromMs,
        bounds: documents.SOAK_BOUNDS,
      });
      const lives = this.instances.flatMap(({process}) => process.lives);
      return {
        seed,
        requests: load.records.length,
        served: load.records.filter(({status}) => status === 200).length,
        faults,
        violations: [...violations, ...processEnds.findProcessEnds(lives)],
        earlyHangups: lives.filter(processEnds.isEarlyHangup).length,
        folder: this.folder,
      };
    } finally {
      await this.stop();
    }
  }

  /** Each series has its own source, so that a seed keeps the others' plans. */
  private drawFaults(): readonly faultPlan.Fault[] {
    const {seed, durationMs, only} = this.options;
    const others = () => [
      ...faultPlan.drawFaults(this.random, durationMs),
      ...faultPlan.drawNoticeFaults(fakes.createRandom(seed), durationMs),
    ];
    const links = () =>
      faultPlan.drawLinkFaults(
        fakes.createRandom(seed + LINK_SEED_OFFSET),
        durationMs,
      );
    const fatalPart = () =>
      faultPlan.drawFatalPart(
        fakes.createRandom(seed + FATAL_SEED_OFFSET),
        durationMs,
      );
    const cold = () =>
      faultPlan.drawColdFaults(
        fakes.createRandom(seed + COLD_SEED_OFFSET),
        durationMs,
      );
    const kills = () =>
      faultPlan.drawKillFaults(
        fakes.createRandom(seed + KILL_SEED_OFFSET),
        durationMs,
      );
    const leavingCallers = () =>
      faultPlan.drawLeaveFaults(
        fakes.createRandom(seed + LEAVE_SEED_OFFSET),
        durationMs,
      );
    const repeats = () =>
      faultPlan.drawRepeatFaults(
        fakes.createRandom(seed + REPEAT_SEED_OFFSET),
        durationMs,
      );
    switch (only) {
      case 'repeats':
        return repeats();
      case 'leaving_callers':
        return leavingCallers();
      case 'kills':
        return kills();
      case 'cold':
        return cold();
      case 'links':
        return links();
      case 'fatal_part':
        return [fatalPart()];
      case undefined:
        return [
          ...others(),
          ...links(),
          fatalPart(),
          ...cold(),
          ...kills(),
          ...leavingCallers(),
        ].sort((a, b) => a.atMs - b.atMs);
    }
  }

  private async start(): Promise<void> {
    deployedArtefact.buildArtefact();
    await this.storeServer.start();
    await this.storeServer.store.create(
      CONFIGURATION,
      platform.CONFIGURATION_NAME,
      documents.createManifest(this.version, this.keys),
    );
    for (let i = 0; i < this.options.upstreams; i++) {
      await this.addUpstream(i);
    }
    const addresses = await this.startInstances();
    await this.waitUntilListening(addresses);
    this.load = new loadGenerator.LoadGenerator({
      addresses,
      keys: KEYS,
      random: this.random,
      now: () => this.clock.now(),
      drawIsFatal: () => this.crashFaults.drawIsFatal(),
      ...(this.options.only === 'repeats' ? {kinds: REPEATABLE_KINDS} : {}),
    });
    this.load.start();
  }

  private async addUpstream(index: number): Promise<void> {
    const state = soakUpstream.createUpstreamState(`u-${index}.0`);
    const record: soakUpstream.SoakRecorder = {
      run: run => this.runs.push(run),
      whole: answer => this.whole.push(answer),
      arrival: arrival => this.arrivals.push(arrival),
      findSender: port => {
        const source = upstream.proxy.findSource(port);
        return this.instances.find(own => own.source === source)?.address;
      },
      notice: notice => this.notices.push(notice),
      failure: atMs => this.failuresMs.push(atMs),
      fatalArrival: arrival => this.crashFaults.arrivals.push(arrival),
      end: () => {
        void this.endUpstream(upstream);
      },
    };
    const script = soakUpstream.createSoakScript(
      state,
      this.random,
      record,
      () => this.clock.now(),
    );
    const upstream: Upstream = {
      index,
      starts: 0,
      state,
      script,
      ...(await startServer(script)),
    };
    this.upstreams.push(upstream);
    await this.register(upstream);
  }

  /** Ends an upstream under a request, unless it has ended already. */
  private async endUpstream(upstream: Upstream): Promise<void> {
    const {server, proxy} = upstream;
    if (this.ended.has(server)) {
      return;
    }
    this.ended.add(server);
    await this.crashFaults.end({
      crash: async () => {
        // The proxy would pass the reset of its target on as a close.
        await proxy.stop();
        server.crash();
      },
      comeBack: async () => {
        const {mode} = proxy;
        Object.assign(upstream, await startServer(upstream.script));
        upstream.proxy.mode = mode;
        await this.removeEntry(upstream.state.id);
        await this.registerAnew(upstream);
      },
    });
  }

  /** Kills the process of an upstream, unless it has ended already. */
  private async killUpstream(
    upstream: Upstream,
    how: 'kill' | 'replace',
  ): Promise<void> {
    const {server, proxy, script, state} = upstream;
    if (this.ended.has(server)) {
      return;
    }
    this.ended.add(server);
    const {id} = state;
    await this.killFaults[how]({
      id,
      current: {server, proxy},
      start: async port => {
        const {mode} = proxy;
        Object.assign(upstream, await startServer(script, port));
        upstream.proxy.mode = mode;
      },
      register: () => this.registerAnew(upstream),
      unregister: async () => {
        await this.removeEntry(id);
      },
    });
  }

  private async register({state, proxy}: Upstream): Promise<void> {
    const entry = documents.createEntry(proxy.address, 'ready');
    await this.storeServer.store.create(UPSTREAMS, state.id, entry);
  }

  private async startInstances(): Promise<readonly string[]> {
    const listens: documents.InstanceAddresses[] = [];
    for (let i = 0; i < this.options.instances; i++) {
      listens.push({
        callers: await drawAddress(),
        readiness: await drawAddress(),
        directory: await drawAddress(),
        peers: await drawAddress(),
        source: `127.0.0.${FIRST_SOURCE + i}`,
      });
    }
    const seeds = listens.slice(0, 3).map(({peers}) => peers);
    for (const [i, listen] of listens.entries()) {
      const id = `instance-${i}`;
      const storeProxy = new fakes.LoopbackProxy(this.storeServer.address);
      await storeProxy.start();
      const settings = documents.formatSettings(
        id,
        listen,
        storeProxy.address,
        seeds,
        this.retryLimit,
      );
      const log = path.join(this.folder, `${id}.log`);
      const process = new gatewayProcess.GatewayProcess({
        id,
        address: listen.callers,
        command: soakCommand.createSoakCommand(id, listen, settings),
        settingsFile: path.join(this.folder, `${id}.toml`),
        openOutput: () => gatewayProcess.openLogFile(log),
      });
      process.start();
      const {callers: address, source} = listen;
      this.instances.push({process, storeProxy, address, source});
    }
    return listens.map(({callers}) => callers);
  }

  private async waitUntilListening(
    addresses: readonly string[],
  ): Promise<void> {
    const isListening = (address: string): Promise<boolean> =>
      new Promise(resolve => {
        const [host = '', port = ''] = address.split(':');
        const socket = net.connect(Number(port), host);
        socket.once('connect', () => {
          socket.destroy();
          resolve(true);
        });
        socket.once('error', () => resolve(false));
      });
    for (const address of addresses) {
      while (!(await isListening(address))) {
        await this.clock.sleep(50);
      }
    }
  }

  private async injectFaults(
    faults: readonly faultPlan.Fault[],
  ): Promise<void> {
    const startedAt = this.clock.now();
    const inProgress: Promise<void>[] = [];
    for (const fault of faults) {
      await this.clock.sleep(startedAt + fault.atMs - this.clock.now());
      inProgress.push(this.injectFault(fault));
    }
    await Promise.all(inProgress);
  }

  /** Records a fault that excuses the sends of an instance or upstream. */
  private recordDisruption({kind, forMs, target}: faultPlan.Fault): void {
    const {address} = getByIndex(this.instances, target);
    const {id} = getByIndex(this.upstreams, target).state;
    const fromMs = this.clock.now();
    const toMs = fromMs + forMs;
    if (INSTANCE_OUTAGES.has(kind)) {
      const untilMs = toMs + RESTART_MS;
      this.outages.push({target: address, fromMs, toMs: untilMs});
    }
    if (INSTANCE_DISRUPTIONS.has(kind)) {
      this.disruptions.push({target: address, fromMs, toMs});
    }
    if (UPSTREAM_DISRUPTIONS.has(kind)) {
      this.disruptions.push({target: id, fromMs, toMs});
    }
  }

  private async injectFault(fault: faultPlan.Fault): Promise<void> {
    const {kind, forMs, target} = fault;
    const instance = getByIndex(this.instances, target);
    const {process, storeProxy} = instance;
    const upstream = getByIndex(this.upstreams, target);
    this.recordDisruption(fault);
    switch (kind) {
      case 'kill':
        process.signal('SIGKILL');
        return;
      case 'planned_stop':
        process.signal('SIGTERM');
        return;
      case 'reload':
        process.signal('SIGHUP');
        return;
      case 'pause':
        process.signal('SIGSTOP');
        await this.clock.sleep(forMs);
        process.signal('SIGCONT');
        return;
      case 'store_silent':
        return this.disruptProxy(storeProxy, 'silent', forMs);
      case 'store_refusing':
        return this.disruptProxy(storeProxy, 'refusing', forMs);
      case 'store_cut':
        return this.disruptProxy(storeProxy, 'one_way', forMs);
      case 'store_delayed':
        return this.disruptProxy(storeProxy, 'delayed', forMs);
      case 'upstream_reset':
        upstream.proxy.resetAll();
        return;
      case 'upstream_silent':
        return this.disruptProxy(upstream.proxy, 'silent', forMs);
      case 'upstream_one_way':
        return this.disruptProxy(upstream.proxy, 'one_way', forMs);
      case 'upstream_delayed':
        return this.disruptProxy(upstream.proxy, 'delayed', forMs);
      case 'upstream_leaves':
        return this.replaceUpstream(upstream, forMs);
      case 'upstream_sheds':
        upstream.state.shedsUntilMs = this.clock.now() + forMs;
        return;
      case 'upstream_says_leaving':
        upstream.state.isLeaving = true;
        await this.clock.sleep(forMs);
        return this.replaceUpstream(upstream, 0);
      case 'links_hang':
        return this.linkFaults.cut(instance, fault, 'silent');
      case 'links_reset':
      case 'links_new_refused':
        return this.linkFaults.cut(instance, fault, 'refusing');
      case 'links_one_way':
        return this.linkFaults.cut(instance, fault, 'one_way');
      case 'upstreams_fragile':
        return this.linkFaults.makeFragile(forMs);
      case 'upstream_pauses':
        upstream.state.pausedUntilMs = this.clock.now() + PAUSE_MS;
        return;
      case 'fatal_part':
        return this.crashFaults.sendPart(forMs);
      case 'upstream_returns_cold':
        return this.coldFaults.returnCold(upstream, 'silent', forMs);
      case 'upstream_restarts_cold':
        return this.coldFaults.returnCold(upstream, 'refusing', forMs);
      case 'upstreams_return_cold':
        await Promise.all(
          this.upstreams.map(each =>
            this.coldFaults.returnCold(each, 'silent', forMs),
          ),
        );
        return;
      case 'upstream_killed':
        return this.killUpstream(upstream, 'kill');
      case 'upstream_replaced':
        return this.killUpstream(upstream, 'replace');
      case 'callers_leave_pause':
        return this.leaveFaults.pause(instance, forMs);
      case 'upstreams_break_off':
        for (const {state} of this.upstreams) {
          state.breaksOffUntilMs = this.clock.now() + forMs;
        }
        return this.clock.sleep(forMs);
      case 'instances_killed_in_turn':
        return this.signalInTurn('SIGKILL');
      case 'instances_stopped_in_turn':
        return this.signalInTurn('SIGTERM');
      case 'half_of_instances_killed':
        this.killHalf(target);
        return;
      case 'configuration_change':
        return this.changeConfiguration(this.keys);
      case 'key_revoked':
        return this.revokeKey();
    }
  }

  /** Sends a signal to one instance after the other. */
  private async signalInTurn(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    for (const {process} of this.instances) {
      process.signal(signal);
      await this.clock.sleep(TURN_MS);
    }
  }

  /** Kills every other instance, beginning with the first or the second. */
  private killHalf(target: number): void {
    this.instances
      .filter((_, index) => index % 2 === target % 2)
      .forEach(({process}) => {
        process.signal('SIGKILL');
      });
  }

  private async disruptProxy(
    proxy: fakes.LoopbackProxy,
    mode: fakes.ProxyMode,
    forMs: number,
  ): Promise<void> {
    proxy.mode = mode;
    if (mode === 'refusing') {
      proxy.resetAll();
    }
    await this.clock.sleep(forMs);
    proxy.mode = 'open';
    if (mode !== 'delayed') {
      // Connections that lost bytes in a cut would hang for ever.
      proxy.resetAll();
    }
  }

  /** Deletes the upstream's entry and registers it later under a new id. */
  private async replaceUpstream(
    upstream: Upstream,
    forMs: number,
  ): Promise<void> {
    const {id} = upstream.state;
    if (!(await this.removeEntry(id))) {
      return;
    }
    await this.clock.sleep(forMs);
    // One that has ended meanwhile registers itself when it comes back.
    if (upstream.state.id === id && !this.ended.has(upstream.server)) {
      await this.registerAnew(upstream);
    }
  }

  /** Writes that an upstream started again under its id, and is cold. */
  private async writeColdEntry({
    state,
    proxy,
  }: coldFaults.ColdUpstream): Promise<void> {
    const {store} = this.storeServer;
    const found = await store.get(UPSTREAMS, state.id);
    const coldForMs = Math.max(0, state.coldUntilMs - this.clock.now());
    await found.caseOf({
      Left: () => Promise.resolve(),
      Right: async ({version}) => {
        const start = {born: version + 1, coldForMs};
        const entry = documents.createEntry(proxy.address, 'ready', start);
        await store.update(UPSTREAMS, state.id, entry, version);
      },
    });
  }

  /** Deletes an upstream's entry; false if there is none. */
  private async removeEntry(id: string): Promise<boolean> {
    const {store} = this.storeServer;
    const found = await store.get(UPSTREAMS, id);
    await found.caseOf({
      Left: () => Promise.resolve(),
      Right: async ({version}) => {
        await store.delete(UPSTREAMS, id, version);
      },
    });
    return found.isRight();
  }

  /** Registers an upstream under a new id. */
  private async registerAnew(upstream: Upstream): Promise<void> {
    const {state} = upstream;
    upstream.starts++;
    state.id = `u-${upstream.index}.${upstream.starts}`;
    state.isLeaving = false;
    await this.register(upstream);
  }

  private async changeConfiguration(keys: readonly string[]): Promise<void> {
    const {store} = this.storeServer;
    const found = await store.get(CONFIGURATION, platform.CONFIGURATION_NAME);
    this.keys = keys;
    this.version += 3;
    await store.update(
      CONFIGURATION,
      platform.CONFIGURATION_NAME,
      documents.createManifest(this.version, keys),
      found.unsafeCoerce().version,
    );
  }

  private async revokeKey(): Promise<void> {
    const [key, ...remaining] = this.keys;
    if (key === undefined || remaining.length === 0) {
      return;
    }
    await this.changeConfiguration(remaining);
    this.revocations.push({key, atMs: this.clock.now()});
  }

  private clearFaults(): void {
    for (const {process, storeProxy, source} of this.instances) {
      process.signal('SIGCONT');
      storeProxy.mode = 'open';
      this.linkFaults.heal(source);
    }
    for (const {proxy} of this.upstreams) {
      proxy.mode = 'open';
    }
  }

  private async stop(): Promise<void> {
    await this.load?.stop();
    await Promise.all(this.instances.map(({process}) => process.terminate()));
    await Promise.all(this.instances.map(({storeProxy}) => storeProxy.stop()));
    await Promise.all(this.upstreams.map(({proxy}) => proxy.stop()));
    await Promise.all(this.upstreams.map(({server}) => server.stop()));
    await this.storeServer.stop();
  }
}

/** Added to the seed for the faults that are drawn apart from the others. */
const LINK_SEED_OFFSET = 1_000_000;

/** Added to the seed for the upstreams that are away and back cold. */
const COLD_SEED_OFFSET = 3_000_000;

/** Added to the seed for the time in which a part ends upstreams. */
const FATAL_SEED_OFFSET = 2_000_000;

/** Added to the seed for the upstreams that are killed. */
const KILL_SEED_OFFSET = 4_000_000;

/** Added to the seed for the pauses in which callers leave. */
const LEAVE_SEED_OFFSET = 5_000_000;

/** Added to the seed for callers that move while answers break off. */
const REPEAT_SEED_OFFSET = 6_000_000;

/** Last number of the IP address from which the first instance calls upstreams. */
const FIRST_SOURCE = 10;

/** Time for which an upstream that pauses answers nothing, in milliseconds. */
const PAUSE_MS = 1_000;

/** Kinds of request that may be sent again. */
const REPEATABLE_KINDS: readonly invariants.RequestKind[] = ['read', 'stream'];

/** Time between the signals to two instances, in milliseconds. */
const TURN_MS = 600;

/** Time that an instance takes at most to serve again, in milliseconds. */
const RESTART_MS = 4_000;

/** Faults in which an instance is down, or can't confirm its configuration. */
const INSTANCE_OUTAGES: ReadonlySet<faultPlan.FaultKind> = new Set([
  'kill',
  'planned_stop',
  'pause',
  'callers_leave_pause',
  'store_silent',
  'store_refusing',
  'store_cut',
  'store_delayed',
]);

/** Faults in which an instance forgets notices, or gets none. */
const INSTANCE_DISRUPTIONS: ReadonlySet<faultPlan.FaultKind> = new Set([
  'kill',
  'planned_stop',
  'pause',
  'callers_leave_pause',
  // Answers come by way of another instance, which gets the notices.
  'links_hang',
  'links_reset',
  'links_new_refused',
  'links_one_way',
]);

/** Faults in which the answers of an upstream are lost or late. */
const UPSTREAM_DISRUPTIONS: ReadonlySet<faultPlan.FaultKind> = new Set([
  'upstream_reset',
  'upstream_silent',
  'upstream_one_way',
  'upstream_delayed',
  'upstream_returns_cold',
  'upstream_restarts_cold',
  'upstreams_return_cold',
]);

const getByIndex = <T>(values: readonly T[], index: number): T =>
  values[index % values.length] as T;

/** Runs one seed; resolves when all its processes have ended. */
export const runSoak = (options: SoakOptions): Promise<SoakResult> =>
  new Soak(options).run();
