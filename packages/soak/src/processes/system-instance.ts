/** One instance of a system of real processes, with its addresses and log. */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';
import * as deployedArtefact from '../artefact/deployed-artefact.js';
import type * as processFields from '../artefact/process-fields.js';
import * as gatewayProcess from '../gateway-process.js';
import * as logPipe from './log-pipe.js';
import type * as processFaults from './process-faults.js';
import type * as processLife from '../process-life.js';
import type * as workCallers from './work-callers.js';

/** Port of the metrics, as the settings template has it. */
const METRICS_PORT = 9_464;

const listen = (port: number, ip: string): Promise<net.Server | undefined> =>
  new Promise(resolve => {
    const server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.destroy();
    });
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, ip, () => {
      resolve(server);
    });
  });

/** An instance whose process is the artefact. */
export class SystemInstance implements workCallers.CalledInstance {
  readonly process: gatewayProcess.GatewayProcess;
  /** The pipe of the process that was started last. */
  log: logPipe.LogPipe | undefined;
  private isTaken = false;
  private readonly endListeners: (() => void)[] = [];

  constructor(
    private readonly place: processFields.ProcessPlace,
    private readonly deployment: processFields.DeploymentFields,
    folder: string,
  ) {
    const {id} = place;
    this.process = new gatewayProcess.GatewayProcess({
      id,
      address: this.address,
      command: deployedArtefact.createProcessCommand(place, deployment),
      settingsFile: path.join(folder, `${id}.toml`),
      openOutput: () => {
        this.log?.close();
        this.log = new logPipe.LogPipe(path.join(folder, `${id}.log`));
        return this.log;
      },
      onEnd: () => {
        this.endListeners.splice(0).forEach(listener => {
          listener();
        });
      },
    });
    fs.writeFileSync(path.join(folder, `${id}.log`), '');
  }

  get address(): string {
    return `${this.place.ip}:${this.place.ports[0]}`;
  }

  /** The process that callers may use. */
  findLife(): processLife.ProcessLife | undefined {
    return this.isTaken ? undefined : this.process.life;
  }

  /** Takes an address once the process ends, and gives it back later. */
  async takeAddress(
    listener: processFaults.Listener,
    forMs: number,
  ): Promise<void> {
    if (this.process.life) {
      await new Promise<void>(resolve => {
        this.endListeners.push(resolve);
      });
    }
    this.isTaken = listener === 'callers';
    const server = await listen(this.findPort(listener), this.place.ip);
    await new Promise(resolve => setTimeout(resolve, forMs));
    await new Promise(resolve => {
      server?.close(resolve);
      if (!server) {
        resolve(undefined);
      }
    });
    this.isTaken = false;
  }

  /** Changes a bound of the settings and says so with SIGHUP. */
  changeSettings(bounds: Readonly<Record<string, number>>): void {
    const changed = {...this.deployment, bounds};
    this.process.changeSettings(
      deployedArtefact.createProcessCommand(this.place, changed).settings,
    );
    this.process.signal('SIGHUP');
  }

  private findPort(listener: processFaults.Listener): number {
    const [callers, readiness, directory, peers] = this.place.ports;
    const metrics = METRICS_PORT;
    return {callers, readiness, directory, peers, metrics}[listener];
  }
}
