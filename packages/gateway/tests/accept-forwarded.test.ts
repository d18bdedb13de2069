import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import type * as protocol from '@amaranthknot/protocol';
import type * as routing from '@amaranthknot/routing';

const SERVICE: routing.Service = {
  name: 'svc',
  healthPath: '/health',
  connectionLimit: 10,
  coldStartMs: 0,
  coldPerSecond: 0,
};

const ROUTE: routing.Route = {
  name: 'read',
  host: 'svc.example',
  pathPrefix: '/read/',
  kind: 'idempotent',
  timeoutMs: 4_000,
  latencyTargetMs: 1_000,
  priority: 0,
  targets: [{service: 'svc', weight: 1}],
  maxAttempts: 3,
  isPublic: false,
  isResumable: false,
  models: [],
  allowedRegions: [],
};

const TABLE: routing.RoutingTable = {
  version: 7,
  routes: [ROUTE],
  services: new Map([['svc', SERVICE]]),
  workspaces: new Map([['key', {name: 'north', allowedRegions: []}]]),
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

const CALLER: gateway.CallerRequest = {
  id: 'r',
  method: 'GET',
  target: '/read/1',
  host: 'svc.example',
  headers: [],
  body: Buffer.alloc(0),
  apiKey: undefined,
  deadlineMs: 3_000,
  receivedAtMs: 0,
  session: undefined,
  lastEventId: undefined,
  generation: undefined,
};

const FORWARDED: protocol.ForwardedRequest = {
  configuration: 7,
  route: 'read',
  service: 'svc',
  workspace: 'north',
  attempts: 2,
  sends: 1,
  isRepeat: true,
};

const accept = (
  forwarded: Partial<protocol.ForwardedRequest>,
  isLost = false,
  table: routing.RoutingTable | undefined = TABLE,
): gateway.Acceptance =>
  gateway.acceptForwarded(
    CALLER,
    {...FORWARDED, ...forwarded},
    {
      table,
      isLost: () => isLost,
    },
  );

describe('acceptForwarded', () => {
  it('takes over what the other instance decided, and its attempts', () => {
    const accepted = accept({}).unsafeCoerce();
    chai.expect(accepted.workspace?.name).equal('north');
    chai.expect(accepted.service).equal(SERVICE);
    chai.expect(accepted.route.maxAttempts).equal(2);
    chai.expect(accepted.deadlineMs).equal(3_000);
    chai
      .expect(accept({attempts: 9}).unsafeCoerce().route.maxAttempts)
      .equal(3);
  });

  const refused: readonly {
    readonly name: string;
    readonly acceptance: gateway.Acceptance;
  }[] = [
    {name: 'a newer configuration', acceptance: accept({configuration: 8})},
    {name: 'an unknown route', acceptance: accept({route: 'other'})},
    {name: 'an unknown service', acceptance: accept({service: 'other'})},
    {name: 'an unknown workspace', acceptance: accept({workspace: 'other'})},
    {name: 'upstreams out of reach here too', acceptance: accept({}, true)},
  ];

  refused.forEach(({name, acceptance}) => {
    it(`refuses as not run: ${name}`, () => {
      const refusal = acceptance.swap().unsafeCoerce();
      chai.expect(refusal.reason).equal('not_ready');
      chai.expect(refusal.retryAfterMs).above(0);
    });
  });
});
