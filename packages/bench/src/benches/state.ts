/**
 * Sizes that no other bench measures, for `docs/CAPACITY.md`: an event in the
 * ring of the time line, a message with the evidence of a rollout, and an
 * upstream in the directory and in the platform's list.
 */
import * as decisions from '@amaranthknot/decisions';
import * as entry from '@amaranthknot/entry';
import * as protocol from '@amaranthknot/protocol';
import * as telemetry from '@amaranthknot/telemetry';
import type * as figures from '../figure.js';

const EVENTS = 20_000;
const UPSTREAMS = 12_000;
const VERSIONS = 33;

/** Heap in use; collects garbage first if node runs with --expose-gc. */
const readHeap = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

const measureHeap = <T>(create: () => T): {bytes: number; created: T} => {
  const before = readHeap();
  const created = create();
  return {bytes: readHeap() - before, created};
};

const fillRing = (): telemetry.EventRing => {
  const clock = new telemetry.HybridClock(() => Date.now());
  const ring = new telemetry.EventRing('entry-1', clock, EVENTS);
  for (let i = 0; i < EVENTS; i++) {
    ring.record('answer_given', {
      request: `00000000-0000-4000-8000-${String(i).padStart(12, '0')}`,
      workspace: `workspace-${i % 10}`,
      model: `model-${i % VERSIONS}`,
      version: 'v1',
      upstream: `engine-${i % UPSTREAMS}`,
    });
  }
  return ring;
};

const createListed = (index: number) => ({
  id: `engine-${index}`,
  role: 'engine' as const,
  state: 'live' as const,
  address: `10.0.${index % 256}.1:8000`,
  zone: `zone-${index % 9}`,
  serves: [`model-${index % VERSIONS}@v1`, `model-${index % VERSIONS}@v2`],
});

const fillDirectory = (): entry.UpstreamDirectory => {
  const clock = {
    now: () => 0,
    steadyNow: () => 0,
    wallTime: () => 0,
    sleep: () => Promise.resolve(),
  };
  const directory = new entry.UpstreamDirectory({
    placement: new decisions.Placement({
      instanceId: 'entry-1',
      zone: 'zone-1',
      random: () => 0.5,
    }),
    clock,
    backoffs: new decisions.UpstreamBackoffs({
      now: () => 0,
      onBegin: () => undefined,
    }),
    sampleClosedZones: () => new Set(),
    excludedZones: () => new Set(),
  });
  directory.applyList(
    Array.from({length: UPSTREAMS}, (_, i) => createListed(i)),
  );
  return directory;
};

const byteLength = (text: string): number => Buffer.byteLength(text);

const counts = {
  requests: 1e6,
  errors: 1e3,
  slow: 1e3,
  paced: 1e6,
  dragging: 1e3,
  compared: 1e3,
  slower: 1e3,
  rated: 1e5,
  bad: 1e3,
};

const run = (): Promise<readonly figures.Figure[]> => {
  const ring = measureHeap(fillRing);
  const directory = measureHeap(fillDirectory);
  const evidence = JSON.stringify({
    jsonrpc: '2.0',
    id: 1,
    result: {incarnation: 'entry-1.1764000000000', old: counts, new: counts},
  });
  const request = protocol.encodeRequest('fetch_evidence', {
    rollout: 'model-1.v1.v2',
  });
  const events = ring.created.read().length;
  const upstreamCount = directory.created.all().length;
  return Promise.resolve([
    {
      figure: 'event_bytes',
      value: ring.bytes / events,
      unit: 'bytes',
    },
    {
      figure: 'directory_bytes_an_upstream',
      value: directory.bytes / upstreamCount,
      unit: 'bytes',
    },
    {
      figure: 'listed_upstream_bytes',
      value: byteLength(JSON.stringify(createListed(1_000))),
      unit: 'bytes',
    },
    {
      figure: 'evidence_message_bytes',
      value: byteLength(evidence) + byteLength(request),
      unit: 'bytes',
    },
  ]);
};

/** Measures the size of each in bytes. */
export const bench: figures.Bench = {
  summary: 'state and messages of small roles, for the capacity page',
  run,
};
