/** HTTP adapter of the platform's object API. */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as httpClient from './http-client.js';
import type * as objectStore from './object-store.js';

const OBJECT = zod.object({
  kind: zod.string(),
  name: zod.string(),
  version: zod.number(),
  value: zod.unknown(),
});

const LISTING = zod.object({
  objects: zod.array(OBJECT),
  version: zod.number(),
});

const CHANGES = zod.object({
  version: zod.number(),
  events: zod.array(
    zod.object({type: zod.enum(['put', 'delete']), object: OBJECT}),
  ),
});

const toError = (response: httpClient.HttpResponse): objectStore.StoreError => {
  const message = `the object API answered ${response.status}`;
  switch (response.status) {
    case 404:
      return {code: 'not_found', message};
    case 409:
      return {code: 'conflict', message};
    case 429:
    case 503:
      // The platform's documentation says that these had no effect.
      return {code: 'unavailable', message};
    default:
      return {code: 'unknown', message};
  }
};

const pathOf = (kind: string, name: string): string =>
  `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;

/** Parses an answer; a malformed one is `unknown`, as if it had been lost. */
const parseResponse = <T>(
  response: httpClient.HttpResponse,
  schema: zod.ZodType<T>,
): objectStore.StoreResult<T> => {
  if (response.status >= 300) {
    return purify.Left(toError(response));
  }
  const parsed = schema.safeParse(response.body);
  return parsed.success
    ? purify.Right(parsed.data)
    : purify.Left({
        code: 'unknown',
        message: 'the object API sent a malformed answer',
      });
};

/** Object store that is accessed over HTTP. */
export class HttpObjectStore implements objectStore.ObjectStore {
  constructor(private readonly client: httpClient.HttpClient) {}

  async get(
    kind: string,
    name: string,
  ): Promise<objectStore.StoreResult<objectStore.StoredObject>> {
    const response = await this.client.send('GET', pathOf(kind, name));
    return response.chain(found => parseResponse(found, OBJECT));
  }

  async list(
    kind: string,
    prefix = '',
  ): Promise<objectStore.StoreResult<objectStore.StoreListing>> {
    const query = `?prefix=${encodeURIComponent(prefix)}`;
    const path = `/objects/${encodeURIComponent(kind)}${query}`;
    const response = await this.client.send('GET', path);
    return response.chain(found => parseResponse(found, LISTING));
  }

  async create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<objectStore.StoreResult<objectStore.StoredObject>> {
    const response = await this.client.send('POST', pathOf(kind, name), {
      body: {value},
    });
    return response.chain(found => parseResponse(found, OBJECT));
  }

  async update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<objectStore.StoreResult<objectStore.StoredObject>> {
    const response = await this.client.send('PUT', pathOf(kind, name), {
      body: {value},
      headers: {'if-match': String(expectedVersion)},
    });
    return response.chain(found => parseResponse(found, OBJECT));
  }

  async delete(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<objectStore.StoreResult<void>> {
    const response = await this.client.send('DELETE', pathOf(kind, name), {
      headers: {'if-match': String(expectedVersion)},
    });
    return response.chain(found =>
      found.status < 300
        ? purify.Right(undefined)
        : purify.Left(toError(found)),
    );
  }

  async watch(
    kind: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<objectStore.StoreResult<objectStore.StoreChanges>> {
    const query = `?after=${afterVersion}&wait_ms=${waitMs}`;
    const path = `/watch/${encodeURIComponent(kind)}${query}`;
    const response = await this.client.send('GET', path, {
      extraTimeoutMs: waitMs,
    });
    return response.chain(found => parseResponse(found, CHANGES));
  }
}
