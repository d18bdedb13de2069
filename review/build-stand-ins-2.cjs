// Bundles each stand-in and case of review/stand-ins-2 into target/review-2.
'use strict';
const fs = require('node:fs');
const path = require('node:path');
const esbuild = require('esbuild');

const ROOT = path.dirname(__dirname);
const SOURCES = path.join(__dirname, 'stand-ins-2');
const TARGET = path.join(ROOT, 'target/review-2');

// The code that reads the deploy file finds it from its own place.
const DEPLOYED = 'packages/soak/src/artefact/deployed-artefact.ts';
const banner = `const __sourceUrl = require('node:url').pathToFileURL(require('node:path').join(__dirname, '../..', '${DEPLOYED}')).href;`;

const programs = fs
  .readdirSync(SOURCES)
  .filter(name => name === 'runner.ts' || name.startsWith('case-'));

esbuild.buildSync({
  entryPoints: programs.map(name => path.join(SOURCES, name)),
  outdir: TARGET,
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  define: {'import.meta.url': '__sourceUrl'},
  banner: {js: banner},
  logLevel: 'warning',
});
