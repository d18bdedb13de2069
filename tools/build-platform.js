// Bundles the gateway into target/, from where the platform runs it, and
// creates the code cache that shortens its start.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as esbuild from 'esbuild';

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const TARGET = path.join(ROOT, 'target');
const START = path.join(TARGET, 'start-cached.cjs');

// Must be the flags of `run` in deploy/system.toml: Node.js rejects a code cache
// that was created under other flags.
const FLAGS = ['--no-memory-reducer'];

await esbuild.build({
  entryPoints: [path.join(ROOT, 'packages/amaranthknot/src/gateway-main.ts')],
  outfile: path.join(TARGET, 'amaranthknot.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  define: {'import.meta.url': '__importMetaUrl'},
  banner: {
    js: "const __importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  minifyWhitespace: true,
  logLevel: 'warning',
});
fs.copyFileSync(path.join(ROOT, 'tools/start-cached.cjs'), START);
fs.rmSync(path.join(TARGET, 'amaranthknot.cache'), {force: true});
childProcess.execFileSync(
  process.execPath,
  [...FLAGS, path.join(ROOT, 'tools/make-start-cache.cjs')],
  {stdio: ['ignore', 'ignore', 'inherit']},
);
