/**
 * Stand-in of the platform's store: lists and watches objects that do not change
 * while the script runs.
 *
 * Usage: store.cjs PORT OBJECTS, where OBJECTS is a JSON file with the
 * specifications by kind and name.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';

const REVISION = 10;

const [port = '', file = ''] = process.argv.slice(2);

const objects = JSON.parse(fs.readFileSync(file, 'utf8')) as Record<
  string,
  Record<string, unknown> | undefined
>;

const listKind = (kind: string): unknown[] =>
  Object.entries(objects[kind] ?? {}).map(([name, specification]) => ({
    metadata: {
      name,
      revision: REVISION,
      created: REVISION,
      finalizers: [],
      deleting: false,
    },
    specification,
    status: null,
  }));

const send = (
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void => {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(body));
};

http
  .createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , word, kind = '', name] = url.pathname.split('/');
    if (request.method !== 'GET' || word !== 'objects' || name !== undefined) {
      send(response, 404, {});
      return;
    }
    if (!url.searchParams.has('watch')) {
      send(response, 200, {items: listKind(kind), more: false, at: REVISION});
      return;
    }
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    setTimeout(() => {
      send(response, 200, {events: [], at: REVISION});
    }, waitMs);
  })
  .listen(Number(port), '127.0.0.1');
