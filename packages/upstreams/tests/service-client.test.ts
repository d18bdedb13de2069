import * as chai from 'chai';
import type * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';
import * as upstreams from '../src/index.js';

const BODY = '{"seat": 7}';

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

interface AnswerCase {
  readonly name: string;
  readonly script: fakes.UpstreamScript;
  /** What the service shows after the end; undefined if it must not be asked. */
  readonly sign: decisions.LivenessSign | undefined;
  readonly isWhole: boolean;
}

const endUnframed: fakes.UpstreamScript = ({socket}) => {
  socket.end(UNFRAMED_HEAD + BODY);
};

const CASES: readonly AnswerCase[] = [
  {
    name: 'with a length, without a check',
    script: ({request, socket}) => {
      socket.write(fakes.formatAnswer(request, BODY));
    },
    sign: undefined,
    isWhole: true,
  },
  {
    name: 'without a length of a service that lives',
    script: endUnframed,
    sign: 'accepted',
    isWhole: true,
  },
  {
    name: 'without a length of a service that has ended',
    script: endUnframed,
    sign: 'refused',
    isWhole: false,
  },
  {
    name: 'without a length that was reset with its last bytes',
    script: ({socket}) => {
      socket.write(UNFRAMED_HEAD + BODY);
      socket.resetAndDestroy();
    },
    sign: undefined,
    isWhole: false,
  },
];

describe('the client of plain services', () => {
  CASES.forEach(({name, script, sign, isWhole}) => {
    it(`${isWhole ? 'returns' : 'does not return'} an answer ${name}`, async () => {
      // Guards against half an answer that is recorded as a call's outcome.
      const service = new fakes.ScriptedUpstream(script);
      await service.start();
      const asked: string[] = [];
      const call = upstreams.createServiceClient(address => {
        asked.push(address);
        return Promise.resolve(sign ?? 'refused');
      });
      const {address} = service;
      const answer = await call(
        {address, method: 'POST', path: '/seats', requestId: 'r'},
        new AbortController().signal,
      );
      await service.stop();
      chai.expect(asked).length(sign === undefined ? 0 : 1);
      chai.expect(answer.isRight()).equal(isWhole);
      answer.caseOf({
        Left: ({code, ran}) => {
          chai.expect([code, ran]).eql(['broken', 'unknown']);
        },
        Right: ({body}) => {
          chai.expect(String(body)).equal(BODY);
        },
      });
    });
  });
});
