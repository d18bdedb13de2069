// Bundles the gateway into target/, from where the platform runs it, and
// creates the code cache that shortens its start.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as esbuild from 'esbuild';

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const SOURCES = path.join(ROOT, 'packages/amaranthknot/src');
const TARGET = path.join(ROOT, 'target');
const START = path.join(TARGET, 'start-cached.cjs');

// Must be the flags of `run` in deploy/system.toml: Node.js rejects a code cache
// that was created under other flags.
const FLAGS = ['--no-memory-reducer'];

/**
 * Modules that libraries load at their start and a gateway never uses: TLS, as
 * it speaks plain HTTP only, and coloured debug output. Loading them takes a
 * tenth of a start, and an instance that restarts serves nobody meanwhile.
 */
const REPLACED_MODULES = {
  https: path.join(ROOT, 'tools/no-https.cjs'),
  '@dabh/diagnostics': path.join(ROOT, 'tools/no-diagnostics.cjs'),
};

/**
 * Leaves what is imported dynamically to a bundle of its own. In the same
 * bundle, esbuild keeps every module that both parts import as a whole, and the
 * gateway would evaluate them all at its start.
 */
const separateDynamicImports = {
  name: 'separate-dynamic-imports',
  setup: build => {
    build.onResolve({filter: /^\./}, ({kind, path: imported}) =>
      kind === 'dynamic-import'
        ? {path: `./${path.basename(imported, '.js')}.cjs`, external: true}
        : undefined,
    );
  },
};

const bundle = (entry, outfile) =>
  esbuild.build({
    entryPoints: [path.join(SOURCES, entry)],
    outfile: path.join(TARGET, outfile),
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    supported: {'dynamic-import': false},
    define: {'import.meta.url': '__importMetaUrl'},
    banner: {
      js: "const __importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
    alias: REPLACED_MODULES,
    plugins: [separateDynamicImports],
    minifyWhitespace: true,
    logLevel: 'warning',
  });

// First, as V8 tells a cache of other sources by their length alone.
for (const name of fs.existsSync(TARGET) ? fs.readdirSync(TARGET) : []) {
  if (name.endsWith('.cache')) {
    fs.rmSync(path.join(TARGET, name));
  }
}
await bundle('gateway-main.ts', 'amaranthknot.cjs');
await bundle('read-flags.ts', 'read-flags.cjs');
fs.copyFileSync(path.join(ROOT, 'tools/start-cached.cjs'), START);
childProcess.execFileSync(
  process.execPath,
  [...FLAGS, path.join(ROOT, 'tools/make-start-cache.cjs')],
  {stdio: ['ignore', 'ignore', 'inherit']},
);
