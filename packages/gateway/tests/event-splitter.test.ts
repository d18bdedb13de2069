import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as gateway from '@amaranthknot/gateway';

const split = (
  chunks: readonly string[],
): {readonly ids: readonly (number | undefined)[]; readonly rest: number} => {
  const splitter = new gateway.EventSplitter();
  const ids = chunks
    .flatMap(chunk => splitter.push(Buffer.from(chunk)))
    .map(({id}) => id);
  return {ids, rest: splitter.pendingBytes};
};

/** Longest time to read the longest event, in milliseconds. */
const MAX_SPLIT_MS = 3_000;

describe('event splitter', () => {
  const cases: readonly {
    readonly name: string;
    readonly chunks: readonly string[];
    readonly ids: readonly (number | undefined)[];
    readonly rest: number;
  }[] = [
    {name: 'nothing', chunks: [], ids: [], rest: 0},
    {name: 'one event', chunks: ['id: 1\ndata: x\n\n'], ids: [1], rest: 0},
    {
      name: 'two events in one chunk',
      chunks: ['id: 1\ndata: x\n\nid: 2\ndata: y\n\n'],
      ids: [1, 2],
      rest: 0,
    },
    {
      name: 'an event in three chunks',
      chunks: ['id: 1', '2\ndata: x\n', '\n'],
      ids: [12],
      rest: 0,
    },
    {
      name: 'lines that end in CRLF',
      chunks: ['id: 3\r\ndata: x\r\n\r\n'],
      ids: [3],
      rest: 0,
    },
    {
      name: 'an unknown field before the number',
      chunks: ['x-weight-versions: 2\nid: 4\ndata: x\n\n'],
      ids: [4],
      rest: 0,
    },
    {
      name: 'an event without a number',
      chunks: ['data: x\n\n'],
      ids: [undefined],
      rest: 0,
    },
    {
      name: 'an incomplete event after a complete one',
      chunks: ['id: 1\ndata: x\n\nid: 2\nda'],
      ids: [1],
      rest: 8,
    },
  ];

  cases.forEach(({name, chunks, ids, rest}) => {
    it(`reads ${name}`, () => {
      chai.expect(split(chunks)).eql({ids, rest});
    });
  });

  it('loses no byte for any division of a stream into chunks', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n';
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.nat(text.length), {maxLength: 8}),
        cuts => {
          const places = [0, ...[...cuts].sort((a, b) => a - b), text.length];
          const chunks = places
            .slice(1)
            .map((to, i) => text.slice(places[i], to));
          const splitter = new gateway.EventSplitter();
          const events = chunks.flatMap(chunk =>
            splitter.push(Buffer.from(chunk)),
          );
          const joined = events.map(({bytes}) => bytes.toString()).join('');
          return joined === text && events.length === 3;
        },
      ),
      {seed: 42, numRuns: 200},
    );
  });

  it('takes a long event in pieces of four bytes in linear time', () => {
    // Guards against an instance that copies what it has of an event for each
    // piece, and does nothing else meanwhile.
    const splitter = new gateway.EventSplitter();
    const piece = Buffer.from('xxxx');
    const beganAtMs = performance.now();
    while (!splitter.isOverlong) {
      splitter.push(piece);
    }
    chai.expect(performance.now() - beganAtMs).lessThan(MAX_SPLIT_MS);
  });
});
