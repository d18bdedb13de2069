/**
 * Runs entry instances as separate processes; the fakes run in the test
 * process.
 */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import * as ports from '@amaranthknot/ports';
import * as embeddedDeployment from '../../src/embedded-deployment.js';
import * as fixtures from './fixtures.js';

const MAIN = url.fileURLToPath(new URL('../../src/main.ts', import.meta.url));

/** Time after which a wait for a condition fails, in milliseconds. */
const CONDITION_TIMEOUT_MS = 40_000;

/** Operator key of test deployments. */
export const OPERATOR_KEY = 'test-operator-key-0123456789abcdef';

/** Polls until a condition holds; throws after `CONDITION_TIMEOUT_MS`. */
export const waitUntil = async (
  what: string,
  holds: () => boolean | Promise<boolean>,
): Promise<void> => {
  const end = Date.now() + CONDITION_TIMEOUT_MS;
  while (!(await holds())) {
    if (Date.now() > end) {
      throw new Error(`timed out waiting for: ${what}`);
    }
    await new Promise(resolve => setTimeout(resolve, 25));
  }
};

const sha256 = (text: string): string =>
  crypto.createHash('sha256').update(text).digest('hex');

const createSettingsText = (
  id: string,
  zone: string,
  address: string,
  platformUrl: string,
): string => `
[instance]
id = "${id}"
zone = "${zone}"
region = "local"
environment = "test"
listen = "${address}"
[platform]
object_api = "${platformUrl}"
instance_list = "${platformUrl}"
[keys]
operator_digest = "sha256:${sha256(OPERATOR_KEY)}"
inner_key = "test-inner-key-0123456789abcdef0123456789"
session_key = "test-session-key-0123456789abcdef01234567"
[limits]
request_timeout_ms = 20_000
stop_grace_ms = 21_000
address_max_age_ms = 500
[log]
level = "error"
`;

/** One entry instance in a separate process. */
export class InstanceProcess {
  private child: childProcess.ChildProcess | undefined;
  exitCode: number | null | undefined;

  constructor(
    readonly id: string,
    readonly address: string,
    private readonly settingsFile: string,
  ) {}

  /** Starts the process; resolves when it is ready. */
  async start(): Promise<void> {
    const args = ['--import', 'tsx', MAIN, 'serve', '--settings'];
    this.exitCode = undefined;
    this.child = childProcess.spawn(
      process.execPath,
      [...args, this.settingsFile],
      {stdio: ['ignore', 'ignore', 'inherit']},
    );
    this.child.once('exit', code => {
      this.exitCode = code;
    });
    await waitUntil(`${this.id} is ready`, () => this.isReady());
  }

  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /**
   * Resolves when the process has exited; throws after the time-out of
   * `waitUntil`.
   */
  async waitForExit(): Promise<void> {
    await waitUntil(`${this.id} exits`, () => this.exitCode !== undefined);
  }

  async isReady(): Promise<boolean> {
    try {
      const answer = await fetch(`http://${this.address}/readyz`, {
        signal: AbortSignal.timeout(500),
      });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Reads `/operator/state` with the operator key. */
  async readState(): Promise<Readonly<Record<string, unknown>>> {
    const answer = await fixtures.send(this.address, '/operator/state', {
      method: 'GET',
      headers: {authorization: `Bearer ${OPERATOR_KEY}`},
    });
    return answer.json as Record<string, unknown>;
  }
}

/** A fake deployment in the test process, and entry instances in their own. */
export interface ProcessDeployment {
  readonly fakes: fakes.FakeDeployment;
  readonly instances: readonly InstanceProcess[];
  stop(): Promise<void>;
}

/** Starts the fakes and one entry process in each zone. */
export const startProcesses = async (
  options: {readonly tokenMs?: number} = {},
): Promise<ProcessDeployment> => {
  const running = await fakes.startFakeDeployment({
    clock: ports.systemClock,
    instances: fixtures.createUpstreams(),
    freePorts: true,
    ...options,
  });
  const {store, url: platformUrl} = {
    store: running.platform.store,
    url: running.platform.url,
  };
  const document = fixtures.createDocument();
  await membership.publishDocument(store, 'test', document);
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'amaranthknot-'));
  const instances: InstanceProcess[] = [];
  for (const [i, zone] of fixtures.ZONES.entries()) {
    const id = `entry-${i + 1}`;
    const address = `127.0.0.1:${await embeddedDeployment.findFreePort()}`;
    const file = path.join(folder, `${id}.toml`);
    fs.writeFileSync(file, createSettingsText(id, zone, address, platformUrl));
    running.platform.register({
      id,
      role: 'entry',
      state: 'live',
      address,
      zone,
      serves: [],
    });
    instances.push(new InstanceProcess(id, address, file));
  }
  await Promise.all(instances.map(instance => instance.start()));
  return {
    fakes: running,
    instances,
    stop: async () => {
      for (const instance of instances) {
        instance.signal('SIGCONT');
        instance.signal('SIGKILL');
      }
      await running.stop();
      fs.rmSync(folder, {recursive: true, force: true});
    },
  };
};
