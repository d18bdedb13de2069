import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as ports from '@amaranthknot/ports';

describe('byte blocks', () => {
  it('keep all bytes in order, however they are divided', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(
          fastCheck.oneof(
            fastCheck.uint8Array({maxLength: 40}),
            fastCheck.uint8Array({minLength: 4_000, maxLength: 9_000}),
          ),
          {maxLength: 60},
        ),
        pieces => {
          const blocks = new ports.ByteBlocks();
          pieces.forEach(piece => {
            blocks.add(Buffer.from(piece));
          });
          const expected = Buffer.concat(pieces);
          return (
            blocks.length === expected.length &&
            blocks.concat().equals(expected)
          );
        },
      ),
      {seed: 42, numRuns: 200},
    );
  });

  it('take about as much memory as bytes where each comes alone', () => {
    // Guards against objects of some hundred bytes for each byte of a body.
    const blocks = new ports.ByteBlocks();
    const bytes = 1_000_000;
    const before = process.memoryUsage();
    for (let i = 0; i < bytes; i++) {
      blocks.add(Buffer.from([i % 256]));
    }
    const {length} = blocks.concat();
    const after = process.memoryUsage();
    chai.expect(length).equal(bytes);
    chai
      .expect(after.arrayBuffers - before.arrayBuffers)
      .lessThan(30 * 1_048_576);
  });

  it('hold nothing once they are cleared', () => {
    const blocks = new ports.ByteBlocks();
    blocks.add(Buffer.from('gone'));
    blocks.clear();
    blocks.add(Buffer.from('new'));
    chai.expect(blocks.concat().toString()).equal('new');
  });
});
