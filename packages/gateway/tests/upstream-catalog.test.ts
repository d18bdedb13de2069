import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';

const GRACE_MS = 2_000;

interface Entry {
  readonly startedAtMs: number;
  readonly coldForMs: number;
}

const decode = (object: ports.StoredObject): routing.Upstream | undefined =>
  object.value === undefined
    ? undefined
    : {
        id: object.name,
        service: 'svc',
        address: {host: '192.0.2.1', port: 1},
        zone: 'zone-a',
        version: 'v1',
        slots: 1,
        state: 'ready',
        ...(object.value as Entry),
      };

const createCatalog = (): gateway.UpstreamCatalog =>
  new gateway.UpstreamCatalog({
    decode,
    lapseGraceMs: GRACE_MS,
    onChanges: () => undefined,
  });

const entriesOf = (
  entries: Readonly<Record<string, Partial<Entry> | undefined>>,
  version = 1,
): ReadonlyMap<string, ports.StoredObject> =>
  new Map(
    Object.entries(entries).map(([name, entry]) => [
      name,
      {
        kind: 'servers',
        name,
        version,
        value: entry && {startedAtMs: 1, coldForMs: 0, ...entry},
      },
    ]),
  );

const idsOf = (catalog: gateway.UpstreamCatalog): readonly string[] =>
  catalog.all().map(({upstream}) => upstream.id);

describe('UpstreamCatalog', () => {
  it('drops an upstream at once if its entry goes in a stable store', () => {
    const catalog = createCatalog();
    catalog.update(entriesOf({a: {}, b: {}}), 0, true);
    catalog.update(entriesOf({a: {}}), 100, true);
    chai.expect(idsOf(catalog)).eql(['a']);
  });

  it('keeps an upstream whose entry lapsed in an outage of the store', () => {
    // Entries lapse during an outage of the store, and live upstreams register
    // again within two seconds. Without the grace period all callers would be
    // refused until then.
    const catalog = createCatalog();
    catalog.update(entriesOf({a: {}, b: {}}), 0, true);
    catalog.update(entriesOf({}), 100, false);
    chai.expect(idsOf(catalog)).eql(['a', 'b']);
    catalog.update(entriesOf({a: {}}, 2), 900, false);
    catalog.expire(100 + GRACE_MS, false);
    chai.expect(idsOf(catalog)).eql(['a']);
  });

  it('drops an upstream that left after an outage, once the store is stable', () => {
    // A grace period that always runs in full from the missing entry would send
    // requests to an upstream up to two seconds after it left.
    const catalog = createCatalog();
    catalog.update(entriesOf({a: {}}), 0, true);
    catalog.update(entriesOf({}), 1_500, false);
    catalog.expire(GRACE_MS + 100, true);
    chai.expect(idsOf(catalog)).empty;
  });

  it('treats a new start under the same id as another upstream', () => {
    const catalog = createCatalog();
    catalog.update(entriesOf({a: {coldForMs: 9_000}}), 0, true);
    catalog.update(entriesOf({a: {startedAtMs: 2}}, 2), 5_000, true);
    chai.expect(catalog.find('a')?.knownSinceMs).equal(5_000);
  });

  it('ignores entries that describe no upstream', () => {
    const catalog = createCatalog();
    catalog.update(entriesOf({a: {}, b: undefined}), 0, true);
    chai.expect(idsOf(catalog)).eql(['a']);
  });
});
