import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import * as fleets from './fleet.js';

const TRIAL = 'trial';
const PRODUCTION = 'production';

const createStore = () =>
  new fakes.MemoryObjectStore({clock: new fakes.VirtualClock()});

type Store = ReturnType<typeof createStore>;

const publish = (store: Store, mark: string, expected?: number) =>
  membership.publishDocument(
    store,
    PRODUCTION,
    fleets.createDocument(mark),
    expected,
  );

/** Version that the active document names; undefined if there is none. */
const readMark = async (store: Store, environment = PRODUCTION) => {
  store.fault = () => 'none';
  const head = await membership.readHead(store, environment);
  const digest = head.orDefault(undefined)?.head.digest;
  if (digest === undefined) {
    return undefined;
  }
  const document = await membership.readDocument(store, digest);
  return document.unsafeCoerce().models[0]!.defaultVersion;
};

const codeOf = (result: Awaited<ReturnType<typeof publish>>): string =>
  result
    .map(() => 'done')
    .mapLeft(error => error.code)
    .extract();

/** Injects faults into the first calls of one operation on heads, one each. */
const failHeads = (
  store: Store,
  operation: fakes.StoreOperation,
  faults: readonly fakes.StoreFault[],
): void => {
  const left = [...faults];
  store.fault = (called, kind) =>
    called === operation && kind === membership.HEAD_KIND
      ? (left.shift() ?? 'none')
      : 'none';
};

describe('publishDocument', () => {
  // Guards against an operator who is told that the change failed, or that
  // another operator was first, while the change is active.
  const lost: readonly {
    readonly name: string;
    readonly operation: fakes.StoreOperation;
    readonly faults: readonly fakes.StoreFault[];
    readonly code: string;
    readonly mark: string;
  }[] = [
    {
      name: 'the answer',
      operation: 'update',
      faults: ['lost_after'],
      code: 'done',
      mark: 'v2',
    },
    {
      name: 'the request',
      operation: 'update',
      faults: ['lost_before'],
      code: 'done',
      mark: 'v2',
    },
    {
      name: 'two requests and an answer',
      operation: 'update',
      faults: ['lost_before', 'lost_before', 'lost_after'],
      code: 'done',
      mark: 'v2',
    },
    {
      name: 'every request',
      operation: 'update',
      faults: ['lost_before', 'lost_before', 'lost_before'],
      code: 'unknown',
      mark: 'v1',
    },
    {
      name: 'nothing, as the platform refuses',
      operation: 'update',
      faults: ['down', 'down', 'down'],
      code: 'unavailable',
      mark: 'v1',
    },
    {
      name: 'the read before',
      operation: 'get',
      faults: ['lost_before'],
      code: 'done',
      mark: 'v2',
    },
    {
      name: 'all reads',
      operation: 'get',
      faults: ['down', 'down', 'down'],
      code: 'unavailable',
      mark: 'v1',
    },
  ];
  for (const {name, operation, faults, code, mark} of lost) {
    it(`reports the true outcome when it loses ${name}`, async () => {
      const store = createStore();
      await publish(store, 'v1');
      failHeads(store, operation, faults);
      chai.expect(codeOf(await publish(store, 'v2'))).equal(code);
      chai.expect(await readMark(store)).equal(mark);
    });
  }

  // The answer is lost and the platform then answers reads with the old head. A
  // plain retry would report a conflict with itself.
  it('finds out the outcome of a lost answer though reads are stale', async () => {
    const store = createStore();
    await publish(store, 'v1');
    const updates: fakes.StoreFault[] = ['lost_after'];
    const reads: fakes.StoreFault[] = ['none', 'stale', 'none'];
    store.fault = (operation, kind) =>
      kind !== membership.HEAD_KIND
        ? 'none'
        : operation === 'update'
          ? (updates.shift() ?? 'none')
          : (reads.shift() ?? 'none');
    chai.expect(codeOf(await publish(store, 'v2'))).equal('done');
  });

  // The answer is lost, and a second operator publishes before its outcome is
  // found out. The change was active, so it must not be reported as a conflict.
  it('reports success though another publication followed', async () => {
    const store = createStore();
    await publish(store, 'v1');
    let isLost = false;
    let later: Promise<unknown> = Promise.resolve();
    store.fault = (operation, kind) => {
      if (isLost || operation !== 'update' || kind !== membership.HEAD_KIND) {
        return 'none';
      }
      isLost = true;
      return 'lost_after';
    };
    const get = store.get.bind(store);
    store.get = async (kind, name) => {
      if (isLost && kind === membership.HEAD_KIND) {
        store.get = get;
        later = publish(store, 'v3');
        await later;
      }
      return get(kind, name);
    };
    chai.expect(codeOf(await publish(store, 'v2'))).equal('done');
    await later;
    chai.expect(await readMark(store)).equal('v3');
  });

  // Guards against two operators who apply at the same moment and are both told
  // that it worked, with half of each active.
  it('gives one of two operators a conflict with the generation of the other', async () => {
    const store = createStore();
    await publish(store, 'v1');
    const results = await Promise.all([
      publish(store, 'v2', 1),
      publish(store, 'v3', 1),
    ]);
    chai.expect(results.map(codeOf).sort()).eql(['conflict', 'done']);
    const winner = results[0].isRight() ? 'v2' : 'v3';
    chai.expect(await readMark(store)).equal(winner);
    const error = results.find(result => result.isLeft())!;
    chai.expect(error.swap().unsafeCoerce().generation).equal(2);
  });

  const expectations = [
    {expected: 0, code: 'conflict'},
    {expected: 1, code: 'conflict'},
    {expected: 2, code: 'done'},
    {expected: 3, code: 'conflict'},
  ];
  for (const {expected, code} of expectations) {
    it(`answers ${code} at generation 2 when ${expected} is expected`, async () => {
      const store = createStore();
      await publish(store, 'v1');
      await publish(store, 'v2');
      chai.expect(codeOf(await publish(store, 'v3', expected))).equal(code);
    });
  }

  // Guards against an apply that is killed half way: instances would run a
  // mixture of old and new sections, or the next apply would build on it.
  it('activates nothing when it ends before any of its calls', async () => {
    for (let calls = 0; ; calls++) {
      const store = createStore();
      await publish(store, 'v1');
      let left = calls;
      store.fault = () => (left-- > 0 ? 'none' : 'down');
      const code = codeOf(await publish(store, 'v2'));
      chai.expect(await readMark(store)).equal(code === 'done' ? 'v2' : 'v1');
      chai.expect(codeOf(await publish(store, 'v3'))).equal('done');
      if (code === 'done') {
        chai.expect(calls).greaterThan(3);
        return;
      }
    }
  });
});

describe('publishDocument without its sections', () => {
  // The platform drops the writes of sections. If it took the head, every
  // instance would look for a section that does not exist.
  for (const fault of ['down', 'lost_before'] as const) {
    it(`does not update the head when sections are ${fault}`, async () => {
      const store = createStore();
      await publish(store, 'v1');
      store.fault = (operation, kind) =>
        kind === membership.SECTION_KIND && operation === 'create'
          ? fault
          : 'none';
      chai.expect(codeOf(await publish(store, 'v2'))).equal('unavailable');
      chai.expect(await readMark(store)).equal('v1');
    });
  }
});

describe('promoteDocument', () => {
  const createPair = async () => {
    const store = createStore();
    const tried = await membership.publishDocument(
      store,
      TRIAL,
      fleets.createDocument('v2'),
    );
    await publish(store, 'v1');
    return {store, digest: tried.unsafeCoerce().digest};
  };

  it('activates the same digest in another environment', async () => {
    const {store, digest} = await createPair();
    const result = await membership.promoteDocument(
      store,
      TRIAL,
      PRODUCTION,
      digest,
    );
    chai.expect(result.unsafeCoerce()).eql({generation: 2, digest});
    chai.expect(await readMark(store)).equal('v2');
  });

  // Guards against an untried document in production: while one operator
  // promotes, another applies to the trial environment.
  it('promotes nothing when the trial environment has moved on', async () => {
    const {store, digest} = await createPair();
    await membership.publishDocument(store, TRIAL, fleets.createDocument('v9'));
    const result = await membership.promoteDocument(
      store,
      TRIAL,
      PRODUCTION,
      digest,
    );
    chai.expect(codeOf(result)).equal('conflict');
    chai.expect(await readMark(store)).equal('v1');
  });

  // While one operator promotes, another applies to production. One of them
  // wins, and the other gets a conflict.
  it('has one winner against an apply at the same moment', async () => {
    const {store, digest} = await createPair();
    const results = await Promise.all([
      membership.promoteDocument(store, TRIAL, PRODUCTION, digest),
      publish(store, 'v3'),
    ]);
    chai.expect(results.map(codeOf).sort()).eql(['conflict', 'done']);
    const winner = results[0].isRight() ? 'v2' : 'v3';
    chai.expect(await readMark(store)).equal(winner);
  });

  it('answers not_found for an empty environment', async () => {
    const store = createStore();
    const result = await membership.promoteDocument(store, TRIAL, PRODUCTION);
    chai.expect(codeOf(result)).equal('not_found');
  });
});
