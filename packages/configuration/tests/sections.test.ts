import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';

const createDocument = (): configuration.Document => ({
  models: [
    {
      name: 'small',
      costPerThousandTokens: 0.1,
      defaultVersion: 'v1',
      versions: [
        {name: 'v1', state: 'active'},
        {name: 'v2', state: 'active'},
      ],
    },
  ],
  cascades: [{name: 'draft', stages: ['small']}],
  services: [{name: 'seats', costPerCall: 0.5, idempotentMethods: ['GET']}],
  workspaces: ['north', 'south'].map((name, index) => ({
    name,
    keyDigests: [String(index).repeat(64)],
    qualityTarget: 0.9,
    priority: 'batch',
    weight: 2,
    limits: {maxConcurrent: 1, maxQueued: 2, maxWaitMs: 3},
    defaultCascade: 'draft',
    allowed: [
      {kind: 'cascade', cascade: 'draft'},
      {kind: 'model', model: 'small', version: 'v1'},
    ],
  })),
  zones: [
    {name: 'z.1', state: 'in'},
    {name: 'z2', state: 'in'},
  ],
  rollouts: [
    {model: 'small', from: 'v1', to: 'v2', state: 'running', steps: [0.1, 1]},
  ],
  sessions: {tokenMaxAgeMs: 60_000},
});

const withZoneOut = (
  document: configuration.Document,
): configuration.Document => ({
  ...document,
  zones: document.zones.map(zone =>
    zone.name === 'z.1' ? {...zone, state: 'out'} : zone,
  ),
});

describe('formatDocument', () => {
  it('writes TOML that reads back to an equal document', () => {
    const text = configuration.formatDocument(createDocument());
    const read = configuration.parseDocument(text, 'copy.toml');
    chai.expect(read.extract()).eql(createDocument());
  });
});

describe('checkDocument', () => {
  it('refuses a change that takes the last zone out', () => {
    const document = {
      ...createDocument(),
      zones: [{name: 'z2', state: 'out'} as const],
    };
    const found = configuration.checkDocument(document, 'trial').swap();
    chai
      .expect(found.orDefault([]).map(({code, key}) => [code, key]))
      .eql([['all_zones_out', 'zones']]);
  });
});

describe('splitDocument', () => {
  it('creates sections that join to an equal document', () => {
    const {manifest, sections} = configuration.splitDocument(createDocument());
    // Values from the platform and peers are copies, not the same objects.
    const copies = JSON.parse(
      JSON.stringify(sections),
    ) as readonly configuration.Section[];
    const joined = configuration.joinSections(
      manifest,
      digest => copies.find(copy => copy.digest === digest)?.value,
    );
    chai.expect(joined.extract()).eql(createDocument());
  });

  it('gives the same digest for any order of members', () => {
    const document = createDocument();
    const reversed = Object.fromEntries(
      Object.entries(document).reverse(),
    ) as unknown as configuration.Document;
    chai
      .expect(configuration.digestDocument(reversed))
      .equal(configuration.digestDocument(document));
  });

  it('changes one section when one zone changes', () => {
    const before = configuration.splitDocument(createDocument());
    const after = configuration.splitDocument(withZoneOut(createDocument()));
    const changed = configuration.listChangedSections(
      before.manifest,
      after.manifest,
    );
    chai.expect(changed).eql(['zones/z.1']);
    chai.expect(after.digest).not.equal(before.digest);
  });

  it('creates a section for each item of the document', () => {
    const {sections} = configuration.splitDocument(createDocument());
    chai
      .expect(sections.map(({name}) => name))
      .eql([
        'cascades/draft',
        'models/small',
        'rollouts/small',
        'services/seats',
        'sessions',
        'workspaces/north',
        'workspaces/south',
        'zones/z.1',
        'zones/z2',
      ]);
  });
});

describe('joinSections', () => {
  const {manifest, sections} = configuration.splitDocument(createDocument());
  const [cascade, model] = sections;
  const find = (digest: string): unknown =>
    sections.find(section => section.digest === digest)?.value;
  const replaceValue =
    (value: unknown) =>
    (digest: string): unknown =>
      digest === cascade!.digest ? value : find(digest);
  const addEntry = (name: string): configuration.Manifest => ({
    sections: {...manifest.sections, [name]: model!.digest},
  });
  const cases: readonly (readonly [
    string,
    configuration.Manifest,
    (digest: string) => unknown,
    string,
  ])[] = [
    [
      'a section whose value is not available',
      manifest,
      replaceValue(undefined),
      'missing_section',
    ],
    [
      'a value that was changed in transit',
      manifest,
      replaceValue({name: 'draft', stages: []}),
      'digest_mismatch',
    ],
    [
      'a section of a later release',
      addEntry('quotas/north'),
      find,
      'unknown_section',
    ],
    [
      'the value of another item',
      addEntry('models/large'),
      find,
      'invalid_section',
    ],
  ];
  for (const [title, entries, findValue, code] of cases) {
    it(`refuses ${title}`, () => {
      const errors = configuration.joinSections(entries, findValue).swap();
      chai.expect(errors.orDefault([]).map(one => one.code)).eql([code]);
    });
  }
});

describe('diffDocuments', () => {
  it('lists changes by their TOML keys', () => {
    const before = createDocument();
    const [north, ...others] = before.workspaces;
    const after: configuration.Document = {
      ...withZoneOut(before),
      services: [],
      workspaces: [
        {...north!, weight: 3, allowed: north!.allowed.slice(0, 1)},
        ...others,
      ],
    };
    const lines = configuration
      .diffDocuments(before, after)
      .map(configuration.formatChange);
    chai
      .expect(lines)
      .eql([
        '- services.seats {"cost_per_call":0.5,"idempotent_methods":["GET"]}',
        '- workspaces.north.allowed."model:small@v1"',
        '~ workspaces.north.weight 2 -> 3',
        '~ zones."z.1".state "in" -> "out"',
      ]);
  });

  it('returns no changes between equal documents', () => {
    const changes = configuration.diffDocuments(
      createDocument(),
      createDocument(),
    );
    chai.expect(changes).eql([]);
  });
});
