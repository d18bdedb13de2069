import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

interface PaceFixture {
  readonly pace: decisions.ReadPace;
  readonly pass: (ms: number) => void;
}

const createPace = (): PaceFixture => {
  let nowMs = 0;
  const pace = new decisions.ReadPace(() => nowMs);
  return {pace, pass: ms => (nowMs += ms)};
};

describe('read pace', () => {
  const bodies: readonly {
    readonly name: string;
    readonly pieces: number;
    readonly everyMs: number;
    readonly times: number;
  }[] = [
    {name: 'of one large piece', pieces: 1, everyMs: 0, times: 1},
    {name: 'of 8 KB in bytes', pieces: 8_000, everyMs: 0, times: 1},
    {
      name: 'of 100,000 tokens, 400 a second',
      pieces: 1,
      everyMs: 2.5,
      times: 100_000,
    },
  ];

  bodies.forEach(({name, pieces, everyMs, times}) => {
    it(`never holds a body ${name}`, () => {
      // Guards against sound streams that wait behind those of faulty senders.
      const {pace, pass} = createPace();
      for (let i = 0; i < 40; i++) {
        pace.begin().count(100_000);
      }
      const body = pace.begin();
      const waits = Array.from({length: times}, () => {
        pass(everyMs);
        return body.count(pieces);
      });
      chai.expect(Math.max(...waits.slice(0, 1_000))).equal(0);
      chai.expect(waits.filter(waitMs => waitMs > 0)).eql([]);
    });
  });

  [1, 10, 100].forEach(senders => {
    it(`bounds the pieces of ${senders} senders that never pause`, () => {
      // Guards against an event loop that reads nothing else.
      const {pace, pass} = createPace();
      const readPieces = 11_000;
      const bodies = Array.from({length: senders}, () => ({
        body: pace.begin(),
        heldUntilMs: 0,
      }));
      let pieces = 0;
      for (let ms = 0; ms < 60_000; ms += 10) {
        for (const sender of bodies) {
          if (sender.heldUntilMs <= ms) {
            pieces += readPieces;
            sender.heldUntilMs = ms + sender.body.count(readPieces);
          }
        }
        pass(10);
      }
      // Each has its own part, and its last read may be paid for later.
      const most = 60 * (25_000 + 500 * senders) + 2 * readPieces * senders;
      chai.expect(pieces).at.most(most);
      chai.expect(pieces).at.least(60 * 25_000 * 0.9);
    });
  });
});
