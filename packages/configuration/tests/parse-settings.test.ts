import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';

const SECRET = 's'.repeat(32);

/** Valid settings; lines can be replaced by key, and lines appended. */
const createText = (
  replaced: Readonly<Record<string, string>> = {},
  added = '',
): string => {
  const lines: Readonly<Record<string, string>> = {
    '[instance]': '',
    id: '"entry-1"',
    zone: '"z1"',
    region: '"north"',
    environment: '"trial"',
    listen: '"127.0.0.1:0"',
    '[platform]': '',
    object_api: '"http://127.0.0.1:9001"',
    instance_list: '"http://127.0.0.1:9002"',
    '[keys]': '',
    operator_digest: `"sha256:${'A'.repeat(64)}"`,
    inner_key: `"${SECRET}"`,
    session_key: '{file = "session.key"}',
    ...replaced,
  };
  const written = Object.entries(lines).map(([key, value]) =>
    key.startsWith('[') ? key : value === '' ? '' : `${key} = ${value}`,
  );
  return [...written, added].join('\n');
};

const problemsOf = (text: string): readonly (readonly string[])[] =>
  configuration
    .parseSettings(text, 'settings.toml')
    .swap()
    .orDefault([])
    .map(problem => [problem.code, problem.key]);

describe('parseSettings', () => {
  it('reads settings and fills in defaults', () => {
    const settings = configuration
      .parseSettings(createText(), 'settings.toml')
      .unsafeCoerce();
    chai.expect(settings.instance.listen).eql({host: '127.0.0.1', port: 0});
    chai.expect(settings.keys).eql({
      operatorDigest: 'a'.repeat(64),
      innerKey: {kind: 'text', text: SECRET},
      sessionKey: {kind: 'file', path: 'session.key'},
    });
    chai.expect(settings.limits.maxBodyBytes).equal(1_048_576);
    chai.expect(settings.limits.stopGraceMs).equal(125_000);
    chai.expect(settings.log.level).equal('info');
  });

  const invalid: readonly (readonly [string, string, string, string])[] = [
    ['no id', createText({id: ''}), 'missing_key', 'instance.id'],
    [
      'a host name as listen address',
      createText({listen: '"localhost:80"'}),
      'invalid_value',
      'instance.listen',
    ],
    [
      'a port out of range',
      createText({listen: '"127.0.0.1:65536"'}),
      'invalid_value',
      'instance.listen',
    ],
    [
      'an unspecified address without one to advertise',
      createText({listen: '"0.0.0.0:8080"'}),
      'invalid_value',
      'instance.advertise',
    ],
    [
      'an endpoint that is not a URL',
      createText({object_api: '"127.0.0.1:9001"'}),
      'invalid_value',
      'platform.object_api',
    ],
    [
      'a short key',
      createText({inner_key: '"short"'}),
      'out_of_range',
      'keys.inner_key',
    ],
    ['no key', createText({inner_key: ''}), 'missing_key', 'keys.inner_key'],
    [
      'a grace period that cuts off requests',
      createText({}, '[limits]\nstop_grace_ms = 1000\n'),
      'out_of_range',
      'limits.stop_grace_ms',
    ],
    [
      'a body limit of 0',
      createText({}, '[limits]\nmax_body_bytes = 0\n'),
      'out_of_range',
      'limits.max_body_bytes',
    ],
    [
      'an unknown level',
      createText({}, '[log]\nlevel = "trace"\n'),
      'invalid_value',
      'log.level',
    ],
    ['an unknown table', createText({}, '[limit]\n'), 'unknown_key', 'limit'],
  ];
  for (const [title, text, code, key] of invalid) {
    it(`refuses ${title}`, () => {
      chai.expect(problemsOf(text)).eql([[code, key]]);
    });
  }

  it('reports the problems of all tables at once', () => {
    const text = createText(
      {zone: '1', inner_key: '"short"'},
      '[limits]\nstop_grace_ms = 1\nmax_in_flight = 0\n',
    );
    chai
      .expect(problemsOf(text).map(([, key]) => key))
      .eql(['instance.zone', 'keys.inner_key', 'limits.max_in_flight']);
  });
});

describe('readSecret', () => {
  const secret = {kind: 'file', path: 'session.key'} as const;
  const cases: readonly (readonly [string, () => string, unknown])[] = [
    ['reads a file and removes its line end', () => `${SECRET}\n`, SECRET],
    ['refuses a file with a short secret', () => 'short', 'too_short'],
    [
      'refuses a file that cannot be read',
      () => {
        throw new Error('no such file');
      },
      'unreadable',
    ],
  ];
  for (const [title, readFile, expected] of cases) {
    it(title, () => {
      const result = configuration
        .readSecret(secret, readFile)
        .mapLeft(error => error.code);
      chai.expect(result.extract()).equal(expected);
    });
  }
});

describe('parseAddress', () => {
  for (const text of ['192.0.2.7:8080', '[2001:db8::7]:0']) {
    it(`reads and writes ${text}`, () => {
      const address = configuration.parseAddress(text).unsafeCoerce();
      chai.expect(configuration.formatAddress(address)).equal(text);
    });
  }
  for (const text of ['', ':80', '1.2.3:4', '::1:80', '[127.0.0.1]:1', 'a:1']) {
    it(`refuses "${text}"`, () => {
      chai.expect(configuration.parseAddress(text).isNothing()).equal(true);
    });
  }
});
