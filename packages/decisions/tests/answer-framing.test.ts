import * as chai from 'chai';
import * as decisions from '../src/index.js';

interface FramingCase {
  readonly name: string;
  readonly method?: string;
  readonly statusCode?: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly framing: decisions.AnswerFraming;
}

const CASES: readonly FramingCase[] = [
  {
    name: 'a length',
    headers: {'content-length': '5'},
    framing: 'length',
  },
  {
    name: 'a length of zero',
    headers: {'content-length': '0'},
    framing: 'length',
  },
  {
    name: 'chunks',
    headers: {'transfer-encoding': 'chunked'},
    framing: 'chunks',
  },
  {
    name: 'chunks as the last coding',
    headers: {'transfer-encoding': 'gzip, Chunked '},
    framing: 'chunks',
  },
  {
    name: 'another coding than chunks',
    headers: {'transfer-encoding': 'identity'},
    framing: 'connection',
  },
  {
    name: 'chunks before the last coding',
    headers: {'transfer-encoding': 'chunked, gzip'},
    framing: 'connection',
  },
  {name: 'neither', headers: {}, framing: 'connection'},
  {
    name: 'a status without a body',
    statusCode: 204,
    headers: {},
    framing: 'bodiless',
  },
  {name: 'an answer to HEAD', method: 'HEAD', headers: {}, framing: 'bodiless'},
];

describe('findFraming', () => {
  CASES.forEach(
    ({name, method = 'GET', statusCode = 200, headers, framing}) => {
      it(`finds ${framing} for ${name}`, () => {
        const head = {statusCode, headers};
        chai.expect(decisions.findFraming(method, head)).equal(framing);
      });
    },
  );
});

describe('a final head', () => {
  const heads: readonly {
    readonly statusCode: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly isFinal: boolean;
  }[] = [
    {statusCode: 0, isFinal: false},
    {statusCode: 42, isFinal: false},
    {statusCode: 100, isFinal: false},
    {statusCode: 101, isFinal: false},
    {statusCode: 199, isFinal: false},
    {statusCode: 200, isFinal: true},
    {statusCode: 200, headers: {'content-length': '5'}, isFinal: true},
    {statusCode: 204, isFinal: true},
    {statusCode: 204, headers: {'content-length': '0'}, isFinal: true},
    {statusCode: 204, headers: {'content-length': '5'}, isFinal: false},
    {
      statusCode: 204,
      headers: {'transfer-encoding': 'chunked'},
      isFinal: false,
    },
    {statusCode: 304, headers: {'content-length': '5'}, isFinal: true},
    {statusCode: 404, isFinal: true},
    {statusCode: 599, isFinal: true},
    {statusCode: 600, isFinal: false},
    {statusCode: 999, isFinal: false},
  ];

  // Guards against a head that can't be passed on, so that its caller gets a
  // reset, or takes it for an answer.
  heads.forEach(({statusCode, headers = {}, isFinal}) => {
    const name = `${statusCode} ${JSON.stringify(headers)}`;
    it(`is ${isFinal ? '' : 'not '}one with status ${name}`, () => {
      chai.expect(decisions.isFinalHead({statusCode, headers})).equal(isFinal);
    });
  });
});
