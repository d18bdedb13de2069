/**
 * Builds the product as its deploy file says and gives the command of one
 * process, so that tests run what the users run.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as smolToml from 'smol-toml';
import * as processFields from './process-fields.js';
import * as renderTemplate from './render-template.js';

const ROOT = url.fileURLToPath(new URL('../../../../', import.meta.url));
const DEPLOY_FILE = path.join(ROOT, 'deploy/system.toml');

interface Role {
  readonly run: string;
  readonly env?: Readonly<Record<string, string>>;
  readonly template: string;
}

interface DeployFile {
  readonly build: string;
  readonly roles: {readonly entry: Role};
}

/** How the platform starts one process. */
export interface ProcessCommand {
  readonly program: string;
  readonly args: readonly string[];
  /** The whole environment, but for the path of the settings. */
  readonly env: Readonly<Record<string, string>>;
  /** The rendered settings. */
  readonly settings: string;
  /** Folder in which the process starts. */
  readonly cwd: string;
}

/** Variable in which a process finds the path of its settings. */
export const SETTINGS_VARIABLE = 'AMARANTHKNOT_CONFIG';

const readDeployFile = (): DeployFile =>
  smolToml.parse(fs.readFileSync(DEPLOY_FILE, 'utf8')) as unknown as DeployFile;

let isBuilt = false;

/** Runs the build of the deploy file, once in this process. */
export const buildArtefact = (): void => {
  if (isBuilt) {
    return;
  }
  childProcess.execFileSync('/bin/sh', ['-c', readDeployFile().build], {
    cwd: ROOT,
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  isBuilt = true;
};

/** The command of the process at `place`, as the deploy file has it. */
export const createProcessCommand = (
  place: processFields.ProcessPlace,
  deployment: processFields.DeploymentFields,
): ProcessCommand => {
  const {run, env = {}, template} = readDeployFile().roles.entry;
  const fields = processFields.createProcessFields(place, deployment);
  const render = (text: string) => renderTemplate.renderTemplate(text, fields);
  const [program = '', ...words] = run.split(' ');
  const variables = Object.entries(env).map(([name, text]) => [
    name,
    render(text),
  ]);
  return {
    program: program === 'node' ? process.execPath : program,
    args: words.map(render),
    env: {
      PATH: process.env['PATH'] ?? '',
      LANG: 'C.UTF-8',
      ...(Object.fromEntries(variables) as Readonly<Record<string, string>>),
    },
    settings: render(fs.readFileSync(path.join(ROOT, template), 'utf8')),
    cwd: ROOT,
  };
};
