// Writes the code cache of the bundle in target/, from a process that has
// started an instance as the platform does: what the start and the first
// requests compile is in it, and an instance that is started again after a
// kill compiles none of it before its callers' first answers.
'use strict';
const fs = require('node:fs');
const http = require('node:http');
const os = require('node:os');
const path = require('node:path');

const START = path.join(__dirname, '..', 'target', 'start-cached.cjs');

/** Time in which the instance starts and answers, in milliseconds. */
const STARTED_MS = 400;
const ANSWERED_MS = 400;

// Nothing listens at the store's address: the instance tries and goes on.
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

/** Ports on which this process has begun to listen. */
const findPorts = () =>
  process._getActiveHandles().flatMap(handle => {
    const address = handle.listening ? handle.address() : undefined;
    return address ? [address.port] : [];
  });

const ask = port => {
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

const later = ms => new Promise(resolve => setTimeout(resolve, ms));

const main = async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'amaranthknot-'));
  const settings = path.join(folder, 'settings.toml');
  fs.writeFileSync(settings, SETTINGS);
  process.env['AMARANTHKNOT_CONFIG'] = settings;
  process.argv = [process.argv[0], START, 'gateway'];
  const {script, CACHE} = require(START);
  await later(STARTED_MS);
  findPorts().forEach(ask);
  await later(ANSWERED_MS);
  fs.writeFileSync(CACHE, script.createCachedData());
  fs.rmSync(folder, {recursive: true});
  process.exit(0);
};

void main();
