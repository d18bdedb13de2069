import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';

const NAMES = platform.HEADER_NAMES;

describe('createParseNotices', () => {
  const parse = gateway.createParseNotices(NAMES);

  const cases: readonly {
    readonly name: string;
    readonly status?: number;
    readonly headers: readonly string[];
    readonly expected: Partial<gateway.UpstreamNotices>;
  }[] = [
    {name: 'no notice', headers: [], expected: {}},
    {
      name: 'a backoff in seconds',
      headers: ['Retry-After', '3'],
      expected: {backoffMs: 3_000},
    },
    {
      name: 'a fraction of a second, in any spelling of the header',
      headers: ['rEtRy-AfTeR', '0.25'],
      expected: {backoffMs: 250},
    },
    {
      name: 'a backoff in a refusal with 429',
      status: 429,
      headers: ['Retry-After', '1'],
      expected: {backoffMs: 1_000},
    },
    {
      name: 'no backoff in an answer that is not a refusal',
      status: 200,
      headers: ['Retry-After', '3'],
      expected: {},
    },
    {name: 'an empty value', headers: ['Retry-After', ''], expected: {}},
    {name: 'a negative value', headers: ['Retry-After', '-1'], expected: {}},
    {name: 'no number', headers: ['Retry-After', 'soon'], expected: {}},
    {name: 'infinity', headers: ['Retry-After', 'Infinity'], expected: {}},
    {
      name: 'a rate limit, in an answer of any status',
      status: 200,
      headers: [NAMES.rateLimit, '1.5'],
      expected: {rateLimit: 1.5},
    },
    {
      name: 'the refusals above which it fails, in an answer of any status',
      status: 200,
      headers: [NAMES.refusalLimit, '3'],
      expected: {refusalLimit: 3},
    },
    {
      name: 'that the upstream is leaving, in an answer of any status',
      status: 200,
      headers: [NAMES.leaving, '1'],
      expected: {isLeaving: true},
    },
    {
      name: 'that the upstream is not leaving',
      headers: [NAMES.leaving, '0'],
      expected: {},
    },
    {name: 'an empty limit', headers: [NAMES.rateLimit, ''], expected: {}},
    {name: 'a negative limit', headers: [NAMES.rateLimit, '-1'], expected: {}},
  ];

  cases.forEach(({name, status = 503, headers, expected}) => {
    it(`parses ${name}`, () => {
      chai.expect(parse(status, headers)).eql({
        rateLimit: undefined,
        refusalLimit: undefined,
        backoffMs: undefined,
        isLeaving: false,
        ...expected,
      });
    });
  });
});
