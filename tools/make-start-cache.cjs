// Writes the V8 code cache of the bundle in target/. It starts an instance as
// the platform does and sends a request to each port, so that the cache holds
// the functions that the start and the first requests compile. An instance that
// is restarted after a kill then answers its first callers without compiling
// them.
'use strict';
const fs = require('node:fs');
const http = require('node:http');
const path = require('node:path');

const TARGET = path.join(__dirname, '..', 'target');
const START = path.join(TARGET, 'start-cached.cjs');

/** Time for the instance to start, and to answer, in milliseconds. */
const START_WAIT_MS = 400;
const ANSWER_WAIT_MS = 400;

// Nothing listens at the store's address; the instance starts without it.
const SETTINGS = `
seeds = []
session_s = 5
address_max_age_s = 5
[instance]
id = "cache"
zone = "a"
region = "a"
[zones]
a = "a"
[listen]
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
directory = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[store]
address = "127.0.0.1:1"
writes_per_second = 1
reads_per_second = 1
[change]
configuration_ms = 2000
leaving_ms = 2000
evacuation_ms = 5000
revocation_ms = 5000
stop_grace_s = 8
stability_ms = 3000
[retry]
ratio = 0.1
slack = 1
window_s = 10
[exposure]
share = 0.1
slack = 1
rollback_ms = 5000
[cold]
overrun = 1
slack = 1
[limits]
memory_mb = 350
file_descriptors = 1024
`;

/** Ports that this process listens on. */
const findPorts = () =>
  process._getActiveHandles().flatMap(handle => {
    const address = handle.listening ? handle.address() : undefined;
    return address ? [address.port] : [];
  });

const sendRequest = port => {
  const body = 'x';
  const request = http.request({
    port,
    method: 'POST',
    path: '/a/1',
    headers: {'Content-Length': body.length},
  });
  request.on('response', response => response.resume());
  request.on('error', () => undefined);
  request.end(body);
};

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const main = async () => {
  const settings = path.join(TARGET, 'cache-settings.toml');
  fs.writeFileSync(settings, SETTINGS);
  process.env['AMARANTHKNOT_CONFIG'] = settings;
  process.argv = [process.argv[0], START, 'gateway'];
  const launcher = require(START);
  await sleep(START_WAIT_MS);
  findPorts().forEach(sendRequest);
  await sleep(ANSWER_WAIT_MS);
  // A build that is broken off must not leave a part of a cache behind.
  const written = `${launcher.CACHE}.part`;
  fs.writeFileSync(written, launcher.script.createCachedData());
  fs.renameSync(written, launcher.CACHE);
  fs.rmSync(settings);
  process.exit(0);
};

void main();
