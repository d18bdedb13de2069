import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const createRequest = (
  id: string,
  overrides: Partial<decisions.AdmissionRequest> = {},
): decisions.AdmissionRequest => ({
  id,
  workspace: 'small',
  priority: 'interactive',
  weight: 1,
  deadlineMs: 100_000,
  maxWaitMs: 50_000,
  maxConcurrent: 100,
  maxQueued: 100,
  expectedServiceMs: 100,
  ...overrides,
});

const createQueue = (capacity = 1, maxQueued = 1000) =>
  new decisions.AdmissionQueue({capacity, maxQueued, random: () => 0.5});

const fill = (
  queue: decisions.AdmissionQueue,
  count: number,
  overrides: Partial<decisions.AdmissionRequest>,
): void => {
  for (let i = 0; i < count; i++) {
    queue.offer(createRequest(`${overrides.workspace}-${i}`, overrides), 0);
  }
};

/**
 * Releases the running requests in order of admission, one every 100 ms;
 * returns the ids in that order.
 */
const drain = (
  queue: decisions.AdmissionQueue,
  first: string,
): readonly string[] => {
  const order = [first];
  for (let i = 0; i < order.length; i++) {
    const admitted = queue.release(order[i]!, 100 * (i + 1));
    order.push(...admitted.map(request => request.id));
  }
  return order;
};

describe('AdmissionQueue', () => {
  it('admits up to its capacity, then queues', () => {
    const queue = createQueue(2);
    const kinds = ['a', 'b', 'c'].map(
      id => queue.offer(createRequest(id), 0).kind,
    );
    chai.expect(kinds).deep.equal(['admitted', 'admitted', 'queued']);
  });

  const refusals: readonly {
    readonly name: string;
    readonly request: Partial<decisions.AdmissionRequest>;
    readonly capacity?: number;
    readonly maxQueued?: number;
    readonly reason: decisions.AdmissionRefusalReason;
  }[] = [
    {
      name: 'a request when there are no slots',
      capacity: 0,
      request: {},
      reason: 'no_capacity',
    },
    {
      name: 'a request whose service time exceeds its deadline',
      request: {deadlineMs: 50},
      reason: 'deadline_unreachable',
    },
    {
      name: 'a request whose wait would exceed its deadline',
      request: {deadlineMs: 500},
      reason: 'deadline_unreachable',
    },
    {
      name: 'a request that would wait longer than its maximum wait',
      request: {maxWaitMs: 200},
      reason: 'deadline_unreachable',
    },
    {
      name: 'a request when the queue of its workspace is full',
      request: {maxQueued: 10},
      reason: 'workspace_queue_full',
    },
    {
      name: 'a request when the whole queue is full',
      maxQueued: 1,
      request: {},
      reason: 'queue_full',
    },
  ];
  for (const {name, request, capacity, maxQueued, reason} of refusals) {
    it(`refuses ${name}, with a retry delay`, () => {
      const queue = createQueue(capacity, maxQueued);
      fill(queue, 11, {workspace: 'small'});
      const outcome = queue.offer(createRequest('late', request), 0);
      chai.expect(outcome).include({kind: 'refused', reason});
      chai.expect(outcome).property('retryAfterMs').greaterThan(0);
    });
  }

  // With one queue for all, a small workspace waits behind all requests that a
  // large one queued before.
  it('alternates between a large workspace and a small one', () => {
    const queue = createQueue(1);
    fill(queue, 50, {workspace: 'large'});
    fill(queue, 3, {workspace: 'small'});
    const order = drain(queue, 'large-0');
    chai.expect(order.indexOf('small-2')).at.most(7);
    chai.expect(order).lengthOf(53);
  });

  it('shares slot time by weight', () => {
    const queue = createQueue(1);
    fill(queue, 60, {workspace: 'heavy', weight: 3});
    fill(queue, 60, {workspace: 'light', weight: 1});
    const order = drain(queue, 'heavy-0').slice(0, 40);
    const heavy = order.filter(id => id.startsWith('heavy')).length;
    chai.expect(heavy).within(28, 32);
  });

  // In order of arrival, a check would wait behind long work that arrived just
  // before it.
  it('runs door checks before other waiting requests', () => {
    const queue = createQueue(1);
    fill(queue, 20, {workspace: 'large', priority: 'batch'});
    queue.offer(createRequest('check', {priority: 'door_check'}), 0);
    chai.expect(drain(queue, 'large-0')[1]).equal('check');
  });

  // With strict priority, a workspace that marks all its requests as urgent
  // starves the others.
  it('does not let a workspace starve others by its priority', () => {
    const queue = createQueue(1);
    fill(queue, 90, {workspace: 'urgent', priority: 'door_check'});
    fill(queue, 10, {workspace: 'plain', priority: 'batch'});
    const order = drain(queue, 'urgent-0').slice(0, 60);
    chai.expect(order.filter(id => id.startsWith('plain'))).lengthOf(10);
  });

  // If only a release checked for expired requests, a request that waits for a
  // slot that is never released would get no answer.
  it('expires requests without a release, with a retry delay', () => {
    const queue = createQueue(1);
    fill(queue, 1, {workspace: 'large'});
    queue.offer(createRequest('waits', {maxWaitMs: 2000}), 0);
    chai.expect(queue.nextExpiryMs()).equal(2001);
    chai.expect(queue.expire(2000)).deep.equal([]);
    const [refusal] = queue.expire(2001);
    chai.expect(refusal).deep.include({reason: 'wait_expired'});
    chai.expect(refusal!.retryAfterMs).greaterThan(0);
    chai.expect(queue.queued).equal(0);
    chai.expect(queue.release('large-0', 2050)).deep.equal([]);
  });

  it('never admits an expired request', () => {
    const queue = createQueue(1);
    fill(queue, 1, {workspace: 'large'});
    queue.offer(createRequest('waits', {maxWaitMs: 2000}), 0);
    chai.expect(queue.release('large-0', 2100)).deep.equal([]);
    chai.expect(queue.expire(2100)).lengthOf(1);
  });

  it('removes cancelled requests, waiting or running', () => {
    const queue = createQueue(1);
    fill(queue, 3, {workspace: 'small'});
    queue.cancel('small-1', 10);
    const admitted = queue.cancel('small-0', 20);
    chai.expect(admitted.map(request => request.id)).deep.equal(['small-2']);
    chai.expect([queue.inFlight, queue.queued]).deep.equal([1, 0]);
  });

  it('applies increases and decreases of its capacity', () => {
    const queue = createQueue(1);
    fill(queue, 4, {workspace: 'small'});
    chai.expect(queue.setCapacity(3, 10)).lengthOf(2);
    queue.setCapacity(1, 20);
    chai.expect(queue.release('small-0', 30)).deep.equal([]);
    chai.expect(queue.release('small-1', 40)).deep.equal([]);
    chai.expect(queue.release('small-2', 50)).lengthOf(1);
  });

  it('keeps a workspace within its concurrency limit', () => {
    const queue = createQueue(4);
    fill(queue, 4, {workspace: 'small', maxConcurrent: 2});
    chai.expect([queue.inFlight, queue.queued]).deep.equal([2, 2]);
  });

  // A standing queue adds wait without adding throughput.
  it('refuses requests as overloaded in a standing queue', () => {
    const queue = createQueue(1);
    fill(queue, 4, {workspace: 'large', priority: 'batch'});
    const request = createRequest('next', {workspace: 'large'});
    chai.expect(queue.offer(request, 0).kind).equal('queued');
    const late = createRequest('late', {workspace: 'large'});
    chai
      .expect(queue.offer(late, 1000))
      .include({kind: 'refused', reason: 'overloaded'});
  });

  // If a standing queue of batch work counted for interactive requests, they
  // would be refused although they run first.
  it('does not refuse urgent work because of a queue of less urgent work', () => {
    const queue = createQueue(1);
    const batch = {workspace: 'large', priority: 'batch'} as const;
    fill(queue, 4, {...batch, expectedServiceMs: 10_000});
    const request = createRequest('next', {maxWaitMs: 30_000});
    chai.expect(queue.offer(request, 3000).kind).equal('queued');
  });

  // A priority lead shorter than the work to overtake would leave short
  // requests behind the long ones of other workspaces.
  it('runs interactive work before long batch work of other workspaces', () => {
    const queue = createQueue(1);
    fill(queue, 1, {workspace: 'first', expectedServiceMs: 100});
    for (let i = 0; i < 5; i++) {
      fill(queue, 1, {
        workspace: `long-${i}`,
        priority: 'batch',
        expectedServiceMs: 1000,
      });
    }
    fill(queue, 20, {workspace: 'short'});
    const served: string[] = ['first-0'];
    let nowMs = 0;
    for (let i = 0; i < 14; i++) {
      const id = served[i]!;
      nowMs += id.startsWith('long') ? 1000 : 100;
      served.push(...queue.release(id, nowMs).map(request => request.id));
    }
    const long = served.filter(id => id.startsWith('long'));
    chai.expect(long.length).at.most(2);
  });

  // When an upstream hangs, the service rate measured before would keep
  // requests queueing for slots that are not released, until all time out.
  it('estimates longer waits when no requests are released', () => {
    const queue = createQueue(1);
    fill(queue, 2, {workspace: 'small'});
    const request = createRequest('next');
    const before = queue.estimateWaitMs(request, 100);
    chai.expect(queue.estimateWaitMs(request, 60_000)).above(5 * before);
  });
});
