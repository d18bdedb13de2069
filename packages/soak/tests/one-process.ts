/** One process of the artefact, with a store and one upstream, and raw callers. */
import * as net from 'node:net';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as soak from '@amaranthknot/soak';
import * as soakDocuments from '../src/soak-documents.js';

export const IP = '127.0.0.85';
export const KEY = 'key-of-north';

/** Memory that the process may use, in megabytes. */
const MEMORY_MB = 350;
const BYTES_PER_MB = 1_048_576;

/** Part of the allowed memory that must stay free, for what is not counted. */
const MARGIN = 0.1;

/** Resident bytes that the process may have at most. */
export const MAX_RESIDENT_BYTES = MEMORY_MB * (1 - MARGIN) * BYTES_PER_MB;

/** Time that callers give a request, in milliseconds. */
export const CALLER_TIME_MS = 3_000;

/** A caller on a connection of its own. */
export interface RawCaller {
  readonly socket: net.Socket;
  /** Resolves to the status of the answer; 0 if the connection ended without. */
  readonly status: Promise<number>;
}

/** What is special of one caller. */
export interface CallerOptions {
  /** Key of a workspace; a known one by default. */
  readonly key?: string;
  /** Bytes in each chunk of a chunked body; all of it by default. */
  readonly chunkBytes?: number;
  /** Whether it never reads its answer. */
  readonly isSlow?: boolean;
  readonly body?: Buffer;
  readonly isChunked?: boolean;
  /** Length that the head declares; that of the body by default. */
  readonly declaredBytes?: number;
}

let lastId = 0;

/** An id that no request had before. */
export const createId = (): string => `id-${++lastId}`;

/** The head of a request. */
export const formatHead = (
  method: string,
  path: string,
  {body, isChunked = false, declaredBytes, key = KEY}: CallerOptions,
): string =>
  [
    `${method} ${path} HTTP/1.1`,
    'Host: svc.example',
    `X-Attempt-Id: ${createId()}`,
    `X-Remaining-Milliseconds: ${CALLER_TIME_MS}`,
    `Api-Key: ${key}`,
    ...(body && isChunked ? ['Transfer-Encoding: chunked'] : []),
    ...(body && !isChunked
      ? [`Content-Length: ${declaredBytes ?? body.length}`]
      : []),
    '\r\n',
  ].join('\r\n');

const formatBody = ({
  body,
  isChunked = false,
  chunkBytes = body?.length ?? 0,
}: CallerOptions): Buffer => {
  if (!body || !isChunked) {
    return body ?? Buffer.alloc(0);
  }
  const size = Buffer.from(`${chunkBytes.toString(16)}\r\n`);
  const chunk = Buffer.concat([
    size,
    body.subarray(0, chunkBytes),
    Buffer.from('\r\n'),
  ]);
  const count = Math.ceil(body.length / chunkBytes);
  const chunks = Buffer.alloc(count * chunk.length, chunk);
  return Buffer.concat([chunks, Buffer.from('0\r\n\r\n')]);
};

/** Sends a request over a connection of its own. */
export const call = (
  port: number,
  method: string,
  path: string,
  options: CallerOptions = {},
): RawCaller => {
  const socket = net.connect({host: IP, port});
  const status = new Promise<number>(resolve => {
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text = (text + chunk.toString('latin1')).slice(0, 100);
      const found = /^HTTP\/1.1 (\d+)/.exec(text)?.[1];
      if (found !== undefined) {
        resolve(Number(found));
        if (options.isSlow) {
          socket.pause();
        }
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(0);
    });
  });
  socket.write(formatHead(method, path, options));
  socket.write(formatBody(options));
  return {socket, status};
};

/** The process, and what it needs. */
export interface OneProcess {
  readonly process: soak.ArtefactProcess;
  readonly upstream: fakes.ScriptedUpstream;
  /** Port for callers. */
  readonly port: number;
  /** Port for messages of other instances. */
  readonly peerPort: number;
  readonly stop: () => Promise<void>;
}

/** Pause between two questions whether the process serves, in milliseconds. */
const ASK_PAUSE_MS = 50;

const waitUntilServed = async (
  port: number,
  process: soak.ArtefactProcess,
): Promise<void> => {
  for (;;) {
    const {status, socket} = call(port, 'GET', '/read/quick');
    const found = await status;
    socket.destroy();
    if (found === 200 || process.end) {
      return;
    }
    await ports.systemClock.sleep(ASK_PAUSE_MS);
  }
};

/** Starts a process whose upstream answers as `script` says. */
export const startProcess = async (
  script: fakes.UpstreamScript,
): Promise<OneProcess> => {
  const store = new fakes.ObjectApiServer(ports.systemClock);
  await store.start();
  const upstream = new fakes.ScriptedUpstream(script);
  await upstream.start();
  const manifest = soakDocuments.createManifest(1, [KEY]);
  await store.store.create('config', 'main', manifest);
  await store.store.create('servers', 'i-1', {
    ...(soakDocuments.createEntry(upstream.address, 'ready') as object),
    slots: 400,
  });
  const draw = () => fakes.drawFreePort();
  const port = await draw();
  const peerPort = await draw();
  const process = new soak.ArtefactProcess(
    soak.createProcessCommand(
      {
        id: 'one',
        ip: IP,
        zone: 'zone-a',
        ports: [port, await draw(), await draw(), peerPort],
      },
      {
        zones: ['zone-a'],
        store: store.address,
        seeds: [],
        memoryMb: MEMORY_MB,
      },
    ),
  );
  await waitUntilServed(port, process);
  const stop = async (): Promise<void> => {
    await process.kill();
    await upstream.stop();
    await store.stop();
  };
  return {process, upstream, port, peerPort, stop};
};
