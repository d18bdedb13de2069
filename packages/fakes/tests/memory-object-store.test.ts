import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';

const codeOf = (result: {swap(): {extract(): unknown}}): unknown =>
  (result.swap().extract() as {code?: string}).code;

describe('MemoryObjectStore', () => {
  const createStore = () =>
    new fakes.MemoryObjectStore({clock: new fakes.VirtualClock()});

  it('rejects a second create, and an update of an old version', async () => {
    const store = createStore();
    const first = (await store.create('lease', 'a', 1)).unsafeCoerce();
    chai.expect(codeOf(await store.create('lease', 'a', 2))).equal('conflict');
    await store.update('lease', 'a', 2, first.version);
    const late = await store.update('lease', 'a', 3, first.version);
    chai.expect(codeOf(late)).equal('conflict');
  });

  it('can lose the answer of a write that took effect', async () => {
    const store = createStore();
    store.fault = () => 'lost_after';
    chai.expect(codeOf(await store.create('lease', 'a', 1))).equal('unknown');
    store.fault = () => 'none';
    const read = (await store.get('lease', 'a')).unsafeCoerce();
    chai.expect(read.value).equal(1);
  });

  it('ends a waiting watch when an object changes', async () => {
    const clock = new fakes.VirtualClock();
    const store = new fakes.MemoryObjectStore({clock});
    const watching = store.watch('lease', 0, 1000);
    await clock.advance(10);
    await store.create('lease', 'a', 1);
    const {events} = (await watching).unsafeCoerce();
    chai.expect(events.map(event => event.object.name)).eql(['a']);
  });
});
