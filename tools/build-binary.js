// Builds dist/amaranthknot, a Node.js single executable application. It runs
// other programs, which the product must not do, so it is not part of a package.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as esbuild from 'esbuild';
import * as postject from 'postject';

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const DIST = path.join(ROOT, 'dist');
const BUNDLE = path.join(DIST, 'amaranthknot.cjs');
const BLOB = path.join(DIST, 'amaranthknot.blob');
const BINARY = path.join(DIST, 'amaranthknot');
const SEA_CONFIG = path.join(DIST, 'sea-config.json');
// Fixed marker that Node.js compiles into its executable.
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

fs.mkdirSync(DIST, {recursive: true});
await esbuild.build({
  entryPoints: [path.join(ROOT, 'packages/amaranthknot/src/main.ts')],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  define: {'import.meta.url': '__importMetaUrl'},
  banner: {
    js: "const __importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;",
  },
  logLevel: 'warning',
});
fs.writeFileSync(
  SEA_CONFIG,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
childProcess.execFileSync(
  process.execPath,
  ['--experimental-sea-config', SEA_CONFIG],
  {stdio: 'inherit'},
);
fs.rmSync(BINARY, {force: true});
fs.copyFileSync(process.execPath, BINARY);
fs.chmodSync(BINARY, 0o755);
await postject.inject(BINARY, 'NODE_SEA_BLOB', fs.readFileSync(BLOB), {
  sentinelFuse: SEA_FUSE,
});
process.stdout.write(`built ${path.relative(ROOT, BINARY)}\n`);
