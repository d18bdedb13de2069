import * as chai from 'chai';
import type * as gateway from '@amaranthknot/gateway';
import * as upstreamChanges from '../../src/gateway/upstream-changes.js';

const createChange = (
  kind: gateway.CatalogChangeKind,
  id: string,
): gateway.CatalogChange => ({
  kind,
  known: {
    upstream: {
      id,
      startedAtMs: 1,
      service: 'svc',
      address: {host: '192.0.2.1', port: 1},
      zone: 'zone-a',
      version: 'v1',
      slots: 1,
      state: 'ready',
      coldForMs: 0,
    },
    knownSinceMs: 0,
  },
});

describe('describeChanges', () => {
  it('groups upstreams by kind of change, and adds the age of the data', () => {
    const changes = [
      createChange('leaving', 'a'),
      createChange('gone', 'b'),
      createChange('leaving', 'c'),
    ];
    chai
      .expect(
        upstreamChanges.describeChanges(changes, {ageMs: 12.4, revision: 7}),
      )
      .eql({
        leaving: ['a', 'c'],
        gone: ['b'],
        count: 3,
        ageMs: 12,
        revision: 7,
      });
  });

  it('limits the names when thousands are added at once', () => {
    const changes = Array.from({length: 12_000}, (_, index) =>
      createChange('added', `i-${index}`),
    );
    const details = upstreamChanges.describeChanges(changes, {
      ageMs: undefined,
      revision: undefined,
    });
    chai.expect(details['count']).equal(12_000);
    chai.expect(JSON.stringify(details).length).below(1_000);
  });
});
