/**
 * A small deployment on loopback addresses: a store, runners, one gateway
 * process with the command of the deploy file, and callers. All that is sent,
 * answered and run goes into a record.
 */
// The stand-in for the platform starts and ends the processes of the case.
// eslint-disable-next-line no-restricted-imports
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as ports from '@amaranthknot/ports';
import * as drawFreePort from '../../packages/fakes/src/draw-free-port.js';
import * as objectApiServer from '../../packages/fakes/src/gateway/object-api-server.js';
import * as deployedArtefact from '../../packages/soak/src/artefact/deployed-artefact.js';

/** Resolves after a time. */
export const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

/** Memory that a process of the small sites may use, in megabytes. */
export const MEMORY_MB = 350;

const HOST = 'rosters.example';
const API_KEY = 'key-of-tenant-a';

/** Routes and services, with the figures of the sheet of ctrte-roster. */
const MANIFEST = {
  version: 3,
  routes: [
    {
      name: 'roster-draft',
      host: HOST,
      pathPrefix: '/draft/',
      kind: 'streaming',
      timeoutMs: 25_000,
      targetLatencyMs: 3_000,
      gapTargetMs: 1_500,
      priority: 1,
      service: 'amaranth-pool',
      maxAttempts: 3,
      public: false,
      resumeStreams: true,
    },
    {
      name: 'shift-swap',
      host: HOST,
      pathPrefix: '/swap/',
      kind: 'non_idempotent',
      timeoutMs: 1_000,
      targetLatencyMs: 150,
      priority: 2,
      service: 'roster-core',
      maxAttempts: 1,
      public: false,
    },
  ],
  services: [
    {name: 'amaranth-pool', healthCheckPath: '/health', connectionLimit: 610},
    {name: 'roster-core', healthCheckPath: '/health', connectionLimit: 96},
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 10_000,
  },
  tenants: [{name: 'tenant-a', apiKeys: [API_KEY]}],
};

/** Time limit of the route of swaps, in milliseconds. */
export const SWAP_TIMEOUT_MS = 1_000;

/** One runner, and its process. */
export interface Runner {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly process: childProcess.ChildProcess;
}

/** One request of a caller, and its answer as far as it has come. */
export interface Sent {
  readonly id: string;
  readonly target: string;
  readonly atMs: number;
  /** Whether its channel had carried another request before. */
  isOnKeptChannel: boolean;
  /** Time from sending to the end of the answer or channel; undefined before. */
  tookMs: number | undefined;
  status: number | undefined;
  seal: string | undefined;
  body: string;
  /** Whether the answer has ended, and looks complete. */
  isComplete: boolean;
  /** Why the channel ended without a complete answer. */
  error: string | undefined;
}

/** A store, runners, one gateway process and callers. */
export class Deployment {
  readonly sent: Sent[] = [];
  gateway: childProcess.ChildProcess | undefined;
  private readonly store = new objectApiServer.ObjectApiServer(
    ports.systemClock,
  );
  private readonly children = new Set<childProcess.ChildProcess>();
  private readonly lines: string[] = [];
  private readonly folder = fs.mkdtempSync(
    path.join(os.tmpdir(), 'amaranthknot-review-'),
  );
  private readonly agent = new http.Agent({keepAlive: true});
  private callers = {host: '127.0.0.1', port: 0};
  private readinessPort = 0;

  /** @param recordFile where the record is written at the end. */
  constructor(private readonly recordFile: string) {
    process.once('exit', () => {
      this.end();
    });
  }

  /** Adds a line to the record. */
  record(details: object): void {
    this.lines.push(JSON.stringify({atMs: Date.now(), ...details}));
  }

  /** Starts the store with the manifest. */
  async startStore(): Promise<void> {
    await this.store.start();
    await this.store.store.create('config', 'main', MANIFEST);
  }

  /** Starts a runner and registers it. */
  async startRunner(
    id: string,
    service: string,
    behaviour: object = {},
  ): Promise<Runner> {
    const port = await drawFreePort.drawFreePort();
    const child = await this.spawnRunner(id, port, behaviour);
    const runner = {id, service, port, process: child};
    await this.register(runner);
    return runner;
  }

  /** Starts a runner at the address of one that ended; it isn't registered. */
  async startSuccessor(
    {service, port}: Runner,
    id: string,
    behaviour: object,
  ): Promise<Runner> {
    const child = await this.spawnRunner(id, port, behaviour);
    return {id, service, port, process: child};
  }

  /** Writes a runner's first entry, or that of a new start under its id. */
  async register({id, service, port}: Runner): Promise<void> {
    const {store} = this.store;
    const entry = createEntry(service, port);
    const known = await store.get('servers', id);
    await known.caseOf({
      Left: () => store.create('servers', id, entry),
      Right: ({version}) => store.update('servers', id, entry, version),
    });
    this.record({event: 'registered', id});
  }

  /** Starts the gateway; resolves to whether it says that it is ready. */
  async startGateway(): Promise<boolean> {
    const drawn: number[] = [];
    for (let i = 0; i < 4; i++) {
      drawn.push(await drawFreePort.drawFreePort());
    }
    const [front = 0, ready = 0, directory = 0, control = 0] = drawn;
    this.callers = {host: '127.0.0.1', port: front};
    this.readinessPort = ready;
    const command = deployedArtefact.createProcessCommand(
      {
        id: 'front-1',
        ip: '127.0.0.1',
        zone: 'zone-a',
        ports: [front, ready, directory, control],
      },
      {
        zones: ['zone-a'],
        store: this.store.address,
        seeds: [`127.0.0.1:${control}`],
        memoryMb: MEMORY_MB,
      },
    );
    const settings = path.join(this.folder, 'settings.toml');
    fs.writeFileSync(settings, command.settings);
    const log = fs.openSync(path.join(this.folder, 'gateway.log'), 'w');
    const child = childProcess.spawn(command.program, [...command.args], {
      cwd: command.cwd,
      env: {...command.env, [deployedArtefact.SETTINGS_VARIABLE]: settings},
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.watch(child);
    this.gateway = child;
    return this.whenReady(10_000);
  }

  /** Resident memory of the gateway in megabytes; 0 if it doesn't run. */
  readGatewayMb(): number {
    try {
      const file = `/proc/${this.gateway?.pid ?? 0}/status`;
      const [, kb = '0'] =
        /VmRSS:\s+(\d+)/.exec(fs.readFileSync(file, 'utf8')) ?? [];
      return Number(kb) / 1_024;
    } catch {
      // It has ended.
      return 0;
    }
  }

  /** Resolves to the status of the readiness address; 0 without an answer. */
  askReadiness(timeoutMs: number): Promise<number> {
    return new Promise(resolve => {
      const request = http.get(
        {
          host: '127.0.0.1',
          port: this.readinessPort,
          path: '/amaranthknot/ready',
          agent: false,
          timeout: timeoutMs,
        },
        response => {
          response.resume();
          resolve(response.statusCode ?? 0);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => {
        resolve(0);
      });
    });
  }

  /**
   * Sends a request of a caller.
   *
   * @param budgetMs how long the caller waits.
   * @param channel whether it goes out over a new channel, or a kept one if
   *     there is one.
   */
  send(
    target: string,
    budgetMs: number,
    channel: 'new' | 'kept' = 'kept',
  ): Sent {
    const id = (this.sent.length + 1).toString(16).padStart(16, '0');
    const sent: Sent = {
      id,
      target,
      atMs: performance.now(),
      isOnKeptChannel: false,
      tookMs: undefined,
      status: undefined,
      seal: undefined,
      body: '',
      isComplete: false,
      error: undefined,
    };
    this.sent.push(sent);
    this.record({event: 'sent', id, target});
    const finish = (error?: string) => {
      if (sent.tookMs === undefined) {
        sent.tookMs = performance.now() - sent.atMs;
        sent.error = error;
        clearTimeout(timer);
        this.recordEnd(sent);
      }
    };
    const request = http.request({
      ...this.callers,
      agent: channel === 'kept' ? this.agent : false,
      method: 'POST',
      path: target,
      headers: {
        Host: HOST,
        'X-Attempt-Id': id,
        'X-Remaining-Milliseconds': String(budgetMs),
        'Api-Key': API_KEY,
        'Content-Length': '0',
      },
    });
    const timer = setTimeout(() => {
      finish('time budget');
      request.destroy();
    }, budgetMs);
    request.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code ?? error.message);
    });
    request.on('response', response => {
      sent.isOnKeptChannel = request.reusedSocket;
      sent.status = response.statusCode;
      const seal = response.headers['x-server-seal'];
      sent.seal = typeof seal === 'string' ? seal : undefined;
      response.on('data', (bytes: Buffer) => {
        sent.body += bytes.toString();
      });
      response.on('error', (error: NodeJS.ErrnoException) => {
        finish(error.code ?? error.message);
      });
      response.on('end', () => {
        sent.isComplete = response.complete;
        finish();
      });
    });
    request.end();
    return sent;
  }

  /** Sends requests at an interval; returns what stops that. */
  sendEvery(
    intervalMs: number,
    prefix: string,
    budgetMs: number,
    channel: 'new' | 'kept' = 'kept',
  ): () => void {
    let count = 0;
    const timer = setInterval(() => {
      count++;
      this.send(`${prefix}${count}`, budgetMs, channel);
    }, intervalMs);
    return () => {
      clearInterval(timer);
    };
  }

  /** Ends all processes and writes the record. */
  end(): void {
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    this.children.clear();
    fs.writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`);
    fs.rmSync(this.folder, {recursive: true, force: true});
  }

  private async whenReady(limitMs: number): Promise<boolean> {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if ((await this.askReadiness(500)) === 200) {
        this.record({event: 'gateway_ready'});
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  private recordEnd({id, status, tookMs, isComplete, error, body}: Sent): void {
    this.record({
      event: 'answered',
      id,
      status,
      tookMs: Math.round(tookMs ?? 0),
      isComplete,
      bytes: body.length,
      error,
    });
  }

  private spawnRunner(
    id: string,
    port: number,
    behaviour: object,
  ): Promise<childProcess.ChildProcess> {
    const program = path.join(__dirname, 'runner.cjs');
    const child = childProcess.spawn(
      process.execPath,
      [program, id, String(port), JSON.stringify(behaviour)],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    this.watch(child);
    return new Promise(resolve => {
      let rest = '';
      child.stdout.on('data', (bytes: Buffer) => {
        const lines = (rest + bytes.toString()).split('\n');
        rest = lines.pop() ?? '';
        this.lines.push(...lines);
        resolve(child);
      });
    });
  }

  private watch(child: childProcess.ChildProcess): void {
    this.children.add(child);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      this.record({event: 'process_ended', pid: child.pid, code, signal});
    });
  }
}

/** A runner's entry in the store. */
const createEntry = (service: string, port: number): unknown => ({
  service,
  address: `127.0.0.1:${port}`,
  zone: 'zone-a',
  version: 'v1',
  slots: service === 'amaranth-pool' ? 128 : 6,
  state: 'ready',
  coldRemainingMs: 0,
  sequence: 1,
  born: Date.now(),
});
