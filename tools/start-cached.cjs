// Starts the bundle in this folder with the code cache from the build: compiling
// its two megabytes takes longer than all other steps of a start. V8 ignores a
// cache that does not match this version of Node.js.
'use strict';
const fs = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');

// SIGHUP (reload) ends a process without a handler, so ignore it until the
// program is compiled. The settings are read after this line anyway.
process.on('SIGHUP', () => undefined);

const BUNDLE = path.join(__dirname, 'amaranthknot.cjs');
const CACHE = path.join(__dirname, 'amaranthknot.cache');

const readCache = () => {
  try {
    return fs.readFileSync(CACHE);
  } catch {
    return undefined;
  }
};

const source = fs.readFileSync(BUNDLE, 'utf8');
const wrapped = `(function (require, __filename, __dirname) {${source}\n})`;
const script = new vm.Script(wrapped, {
  filename: BUNDLE,
  cachedData: readCache(),
});
script.runInThisContext()(require, BUNDLE, __dirname);

module.exports = {script, CACHE};
