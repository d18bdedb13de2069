// Starts the bundle in this folder with the code cache from the build: compiling
// its megabyte takes longer than all other steps of a start. V8 ignores a cache
// that does not match this version of Node.js, but does not tell kinds of
// processors apart: their caches have names of their own.
//
// Listens for callers before it loads the bundle. Loading takes most of a start:
// until then each connection would be refused, and after a loss of power all
// instances start at once, so that callers spend their retries in vain.
'use strict';
const fs = require('node:fs');
const net = require('node:net');
const path = require('node:path');
const vm = require('node:vm');

// A signal ends a process without a handler, with the connections that wait at
// the address that is opened below. These are kept for the program.
const receivedSignals = [];
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => receivedSignals.push(signal));
}

const BUNDLE = path.join(__dirname, 'amaranthknot.cjs');
const CACHE = path.join(
  __dirname,
  `amaranthknot-${process.version}-${process.arch}.cache`,
);

const readCache = () => {
  try {
    return fs.readFileSync(CACHE);
  } catch {
    return undefined;
  }
};

/** Loads and runs the bundle; see `OpenedListener` for `listener`. */
const load = listener => {
  const source = fs.readFileSync(BUNDLE, 'utf8');
  const wrapped = `(function (require, __filename, __dirname, callerListener, receivedSignals) {${source}\n})`;
  const script = new vm.Script(wrapped, {
    filename: BUNDLE,
    cachedData: readCache(),
  });
  module.exports.script = script;
  const run = script.runInThisContext();
  run(require, BUNDLE, __dirname, listener, receivedSignals);
};

/**
 * Listens at `address`, IP:PORT, and then loads the bundle, which takes the
 * listener over before any connection is accepted.
 */
const listenAndLoad = address => {
  const [host, port] = address.split(':');
  const listener = net.createServer({pauseOnConnect: true});
  // The bundle opens the address itself, and reports why it can't.
  listener.once('error', () => load(undefined));
  listener.listen({host, port: Number(port)}, () => {
    listener.removeAllListeners('error');
    load({server: listener, openedAtMs: performance.now()});
  });
};

module.exports = {CACHE};

const callers = process.env['AMARANTHKNOT_CALLERS'];
if (callers) {
  listenAndLoad(callers);
} else {
  load(undefined);
}
