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

/** Releases in order of admission, one each 100 ms; returns ids in order. */
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
    {name: 'no slots', capacity: 0, request: {}, reason: 'no_capacity'},
    {
      name: 'a deadline that the work itself exceeds',
      request: {deadlineMs: 50},
      reason: 'deadline_unreachable',
    },
    {
      name: 'a deadline that the queue exceeds',
      request: {deadlineMs: 500},
      reason: 'deadline_unreachable',
    },
    {
      name: 'a wait over its bound',
      request: {maxWaitMs: 200},
      reason: 'deadline_unreachable',
    },
    {
      name: 'a full workspace queue',
      request: {maxQueued: 10},
      reason: 'workspace_queue_full',
    },
    {
      name: 'a full queue',
      maxQueued: 1,
      request: {},
      reason: 'queue_full',
    },
  ];
  for (const {name, request, capacity, maxQueued, reason} of refusals) {
    it(`refuses ${name} and says when to come back`, () => {
      const queue = createQueue(capacity, maxQueued);
      fill(queue, 11, {workspace: 'small'});
      const outcome = queue.offer(createRequest('late', request), 0);
      chai.expect(outcome).include({kind: 'refused', reason});
      chai.expect(outcome).property('retryAfterMs').greaterThan(0);
    });
  }

  // Hosts at the door of a small workspace wait minutes while a large one
  // drafts rosters: it queued 50 requests first. Cause: one queue for all.
  it('takes turns between a large workspace and a small one', () => {
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

  // A controller's check waits behind the long answers of its own workspace,
  // which came a moment earlier. Cause: order of arrival alone.
  it('runs door checks before what else waits', () => {
    const queue = createQueue(1);
    fill(queue, 20, {workspace: 'large', priority: 'batch'});
    queue.offer(createRequest('check', {priority: 'door_check'}), 0);
    chai.expect(drain(queue, 'large-0')[1]).equal('check');
  });

  // One workspace marks all it sends as urgent; the others get nothing.
  // Cause: strict priority, which lends without bound.
  it('lets no workspace starve others by its priority', () => {
    const queue = createQueue(1);
    fill(queue, 90, {workspace: 'urgent', priority: 'door_check'});
    fill(queue, 10, {workspace: 'plain', priority: 'batch'});
    const order = drain(queue, 'urgent-0').slice(0, 60);
    chai.expect(order.filter(id => id.startsWith('plain'))).lengthOf(10);
  });

  // A request waits for a slot that never comes, and its caller hears
  // nothing until a timeout of its own. Cause: only a release looked at it.
  it('gives up on overdue requests at once, with when to come back', () => {
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

  it('never admits a request past its last moment', () => {
    const queue = createQueue(1);
    fill(queue, 1, {workspace: 'large'});
    queue.offer(createRequest('waits', {maxWaitMs: 2000}), 0);
    chai.expect(queue.release('large-0', 2100)).deep.equal([]);
    chai.expect(queue.expire(2100)).lengthOf(1);
  });

  it('forgets cancelled requests, waiting or running', () => {
    const queue = createQueue(1);
    fill(queue, 3, {workspace: 'small'});
    queue.cancel('small-1', 10);
    const admitted = queue.cancel('small-0', 20);
    chai.expect(admitted.map(request => request.id)).deep.equal(['small-2']);
    chai.expect([queue.inFlight, queue.queued]).deep.equal([1, 0]);
  });

  it('follows its capacity up and down', () => {
    const queue = createQueue(1);
    fill(queue, 4, {workspace: 'small'});
    chai.expect(queue.setCapacity(3, 10)).lengthOf(2);
    queue.setCapacity(1, 20);
    chai.expect(queue.release('small-0', 30)).deep.equal([]);
    chai.expect(queue.release('small-1', 40)).deep.equal([]);
    chai.expect(queue.release('small-2', 50)).lengthOf(1);
  });

  it('keeps a workspace within its slots', () => {
    const queue = createQueue(4);
    fill(queue, 4, {workspace: 'small', maxConcurrent: 2});
    chai.expect([queue.inFlight, queue.queued]).deep.equal([2, 2]);
  });

  // In a long rush everyone waits two seconds, and no more is answered than
  // with a short queue. Cause: a queue that is always full only adds wait.
  it('keeps a queue that never empties short', () => {
    const queue = createQueue(1);
    fill(queue, 4, {workspace: 'large', priority: 'batch'});
    const request = createRequest('next', {workspace: 'large'});
    chai.expect(queue.offer(request, 0).kind).equal('queued');
    const late = createRequest('late', {workspace: 'large'});
    chai
      .expect(queue.offer(late, 1000))
      .include({kind: 'refused', reason: 'overloaded'});
  });

  // In a rush, long batch work queues without end, and every interactive
  // request is refused though it would run first. Cause: a queue of batch
  // work counted as one that interactive requests stand in.
  it('does not refuse urgent work for a queue of less urgent work', () => {
    const queue = createQueue(1);
    const batch = {workspace: 'large', priority: 'batch'} as const;
    fill(queue, 4, {...batch, expectedServiceMs: 10_000});
    const request = createRequest('next', {maxWaitMs: 30_000});
    chai.expect(queue.offer(request, 3000).kind).equal('queued');
  });

  // Short requests of nine workspaces wait behind long ones, one of which
  // each workspace has. Cause: a lead shorter than what it has to overtake.
  it('runs interactive work before long batch work of others', () => {
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

  // An upstream hangs: requests go on queueing for slots that do not come
  // back, and all time out. Cause: a service rate measured before the hang.
  it('estimates longer waits when releases stay out', () => {
    const queue = createQueue(1);
    fill(queue, 2, {workspace: 'small'});
    const request = createRequest('next');
    const before = queue.estimateWaitMs(request, 100);
    chai.expect(queue.estimateWaitMs(request, 60_000)).above(5 * before);
  });
});
