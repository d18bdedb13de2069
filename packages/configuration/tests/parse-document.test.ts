import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';

const digest = (digit: string): string => `sha256:${digit.repeat(64)}`;

/** A valid document as TOML; parts can be replaced or added. */
const createText = (parts: Readonly<Record<string, string>> = {}): string =>
  Object.values({
    models: `
[models.small]
cost_per_thousand_tokens = 0.1
default_version = "v2"
[models.small.versions.v1]
state = "withdrawn"
successor = "v2"
[models.small.versions.v2]
[models.small.versions.v3]
[models.large]
cost_per_thousand_tokens = 2
default_version = "v1"
versions.v1 = {}
`,
    cascades: '[cascades.draft]\nstages = ["small", "large"]\n',
    services: '[services.seats]\ncost_per_call = 0.01\n',
    workspaces: `
[workspaces.north]
keys = ["${digest('a')}"]
default_cascade = "draft"
[workspaces.south]
keys = ["${digest('b')}"]
[workspaces.south.limits]
max_concurrent = 4
`,
    rules: `
[[rules]]
workspaces = ["*"]
allow = ["cascade:draft"]
[[rules]]
workspaces = ["south"]
allow = ["model:small@v2", "service:seats"]
`,
    zones: '[zones.z1]\n[zones.z2]\nstate = "out"\n',
    rollouts: `
[rollouts.small]
from = "v2"
to = "v3"
steps = [0.1, 1]
`,
    ...parts,
  }).join('');

const parse = (text: string) =>
  configuration.parseDocument(text, 'trial.toml').extract();

const problemsOf = (text: string): readonly configuration.Problem[] =>
  configuration.parseDocument(text, 'trial.toml').swap().orDefault([]);

describe('parseDocument', () => {
  it('reads a valid document and fills in defaults', () => {
    const document = parse(createText()) as configuration.Document;
    chai
      .expect(document.models.map(model => model.name))
      .eql(['large', 'small']);
    chai.expect(document.workspaces[0]).eql({
      name: 'north',
      keyDigests: ['a'.repeat(64)],
      qualityTarget: 0.95,
      priority: 'interactive',
      weight: 1,
      limits: {maxConcurrent: 64, maxQueued: 256, maxWaitMs: 10_000},
      defaultCascade: 'draft',
      allowed: [{kind: 'cascade', cascade: 'draft'}],
    });
    chai.expect(document.rollouts[0]?.state).equal('running');
  });

  const model = (defaultVersion: string, body = ''): string =>
    '[models.small]\ncost_per_thousand_tokens = 0.1\n' +
    `default_version = "${defaultVersion}"\n` +
    `versions.v2 = {}\nversions.v3 = {}\n${body}\n` +
    '[models.large]\ncost_per_thousand_tokens = 2\ndefault_version = "v1"\n' +
    'versions.v1 = {}\n';
  const workspace = (body: string): string =>
    `[workspaces.north]\nkeys = ["${digest('a')}"]\n${body}\n` +
    `[workspaces.south]\nkeys = ["${digest('b')}"]\n`;
  const rollout = (body: string): string => `[rollouts.small]\n${body}\n`;
  const rule = (allow: string, workspaces = '*'): string =>
    `[[rules]]\nworkspaces = ["${workspaces}"]\nallow = ${allow}\n`;

  // Each row: expected code, key and nearest name; and the part with the fault.
  const invalid: readonly (readonly [
    string,
    Readonly<Record<string, string>>,
  ])[] = [
    ['syntax (file)', {zones: '[zones.z1\n'}],
    ['unknown_key zone zones', {other: '[zone.x]\n'}],
    [
      'unknown_key workspaces.north.wieght weight',
      {workspaces: workspace('wieght = 2')},
    ],
    [
      'unknown_key workspaces.north.limits.max_queue max_queued',
      {workspaces: workspace('limits.max_queue = 2')},
    ],
    [
      'unknown_key workspaces.__proto__',
      {other: `[workspaces.__proto__]\nkeys = ["${digest('c')}"]\n`},
    ],
    [
      'wrong_type workspaces.north.weight',
      {workspaces: workspace('weight = "2"')},
    ],
    [
      'out_of_range workspaces.north.quality_target',
      {workspaces: workspace('quality_target = 1.5')},
    ],
    [
      'out_of_range workspaces.north.weight',
      {workspaces: workspace('weight = 0')},
    ],
    [
      'invalid_value workspaces.north.priority interactive',
      {workspaces: workspace('priority = "interactiv"')},
    ],
    [
      'invalid_value workspaces.south.keys.0',
      {workspaces: workspace('').replace(digest('b'), 'secret')},
    ],
    ['invalid_name zones."z@1"', {zones: '[zones."z@1"]\n[zones.z2]\n'}],
    ['missing_key zones', {zones: ''}],
    [
      'dangling_name models.small.default_version v2',
      {
        models: model('v22'),
      },
    ],
    [
      'dangling_name models.small.default_version',
      {
        models: model('constructor'),
      },
    ],
    [
      'default_withdrawn models.small.default_version',
      {
        models: model(
          'v1',
          'versions.v1 = {state = "withdrawn", successor = "v2"}',
        ),
      },
    ],
    [
      'no_live_successor models.small.versions.v1',
      {
        models: model('v2', 'versions.v1 = {state = "withdrawn"}'),
      },
    ],
    [
      'successor_cycle models.small.versions.v1',
      {
        models: model(
          'v2',
          'versions.v1 = {state = "withdrawn", successor = "v1"}',
        ),
      },
    ],
    [
      'dangling_name cascades.draft.stages.0 small',
      {cascades: '[cascades.draft]\nstages = ["smal", "large"]\n'},
    ],
    [
      'duplicate cascades.draft.stages.2',
      {cascades: '[cascades.draft]\nstages = ["small", "large", "small"]\n'},
    ],
    [
      'cost_order cascades.draft.stages.1',
      {cascades: '[cascades.draft]\nstages = ["large", "small"]\n'},
    ],
    [
      'unreachable_stage cascades.draft.stages.0',
      {rules: rule('["cascade:draft", "model:small@v1"]')},
    ],
    [
      'dangling_name rules.1.workspaces.0 north',
      {rules: rule('["cascade:draft"]') + rule('["model:small"]', 'nort')},
    ],
    [
      'dangling_name rules.0.allow.1 v1',
      {rules: rule('["cascade:draft", "model:large@v9"]')},
    ],
    [
      'invalid_value rules.0.allow.1',
      {rules: rule('["cascade:draft", "small"]')},
    ],
    [
      'nothing_allowed workspaces.south',
      {rules: rule('["cascade:draft"]', 'north')},
    ],
    [
      'nothing_allowed workspaces.south',
      {
        rules:
          rule('["cascade:draft"]', 'north') +
          rule('["model:small@v1"]', 'south'),
      },
    ],
    [
      'cascade_not_allowed workspaces.north.default_cascade',
      {rules: rule('["model:small"]')},
    ],
    ['all_zones_out zones', {zones: '[zones.z1]\nstate = "out"\n'}],
    [
      'steps_not_growing rollouts.small.steps.1',
      {rollouts: rollout('from = "v2"\nto = "v3"\nsteps = [0.5, 0.5, 1]')},
    ],
    [
      'steps_not_complete rollouts.small.steps',
      {rollouts: rollout('from = "v2"\nto = "v3"\nsteps = [0.5]')},
    ],
    [
      'rollout_withdrawn rollouts.small.to',
      {rollouts: rollout('from = "v2"\nto = "v1"\nsteps = [1]')},
    ],
    [
      'rollout_to_itself rollouts.small.to',
      {rollouts: rollout('from = "v2"\nto = "v2"\nsteps = [1]')},
    ],
    [
      'duplicate_key_digest workspaces.south.keys.0',
      {workspaces: workspace('').replace(digest('b'), digest('A'))},
    ],
  ];
  for (const [expected, parts] of invalid) {
    it(`reports ${expected}`, () => {
      const found = problemsOf(createText(parts));
      const texts = found.map(({code, key, nearest}) =>
        [code, key, nearest].filter(part => part !== undefined).join(' '),
      );
      chai.expect(texts).include(expected);
      chai.expect(found.map(({file}) => file)).include('trial.toml');
    });
  }

  it('reports all problems with their lines, sorted by line', () => {
    const text = createText({
      zones: '[zones.z1]\nstat = "in"\n\n[zones.z2]\nstate = "off"\n',
      rules: rule('[\n"cascade:draft",\n"cascade:draught"]'),
    });
    const lines = text.split('\n');
    const found = problemsOf(text).map(
      problem => lines[(problem.line ?? 0) - 1],
    );
    chai
      .expect(found)
      .eql(['"cascade:draught"]', 'stat = "in"', 'state = "off"']);
  });

  it('reports a missing table once', () => {
    const found = problemsOf(createText({zones: ''}));
    chai
      .expect(found.map(({code, key}) => [code, key]))
      .eql([['missing_key', 'zones']]);
  });

  it('refuses more than a megabyte without parsing it', () => {
    const text = `${createText()}# ${'x'.repeat(1_000_000)}`;
    chai.expect(problemsOf(text).map(one => one.code)).eql(['too_large']);
  });

  const many = (count: number, write: (index: number) => string): string =>
    Array.from({length: count}, (_, index) => write(index)).join('');
  const copies = many(
    900,
    index =>
      `[workspaces.w${index}]\n` +
      `keys = ["sha256:${String(index).padStart(64, '0')}"]\n`,
  );
  const large: readonly (readonly [string, string, string])[] = [
    [
      'more sections than a message can list',
      many(400, i => `[zones.a${i}]\n[services.s${i}]\ncost_per_call = 1\n`) +
        many(400, i => `[cascades.c${i}]\nstages = ["small"]\n`) +
        copies,
      'out_of_range',
    ],
    [
      'rules for all workspaces that make the published sections too large',
      many(
        180,
        i => `[cascades.long-name-of-a-cascade-${i}]\nstages = ["small"]\n`,
      ) +
        '[[rules]]\nworkspaces = ["*"]\nallow = [' +
        `${many(180, i => `"cascade:long-name-of-a-cascade-${i}",`)}]\n` +
        copies,
      'too_large',
    ],
  ];
  for (const [title, added, code] of large) {
    it(`refuses ${title}`, () => {
      const found = problemsOf(createText({added}));
      chai
        .expect(found.map(one => [one.code, one.key]))
        .eql([[code, configuration.WHOLE_FILE_KEY]]);
    });
  }

  it('gives problems that formatProblem writes as one line', () => {
    const [problem] = problemsOf(createText({other: '[zone.x]\n'}));
    chai
      .expect(problem && configuration.formatProblem(problem))
      .match(
        /^trial\.toml:\d+: zone: unknown key "zone"; did you mean "zones"\? \[unknown_key\]$/,
      );
  });
});

describe('isModelAllowed', () => {
  const cascade = {name: 'draft', stages: ['small', 'large']};
  const draft = {kind: 'cascade', cascade: 'draft'} as const;
  const small = {kind: 'model', model: 'small'} as const;
  const pinned = {...small, version: 'v1'} as const;
  const cases: readonly (readonly [
    string,
    readonly configuration.Target[],
    string,
    boolean,
    boolean,
  ])[] = [
    ['nothing without a target', [], 'v1', false, false],
    ['the stages of a cascade within it only', [draft], 'v1', false, true],
    ['a model within and outside a cascade', [small], 'v1', true, true],
    ['the pinned version', [draft, pinned], 'v1', true, true],
    ['no other than the pinned version', [draft, pinned], 'v2', false, false],
    [
      'all versions if a target without a version exists',
      [small, pinned],
      'v2',
      true,
      true,
    ],
  ];
  for (const [title, allowed, version, direct, within] of cases) {
    it(`allows ${title}`, () => {
      const answers = [undefined, cascade].map(through =>
        configuration.isModelAllowed(allowed, 'small', version, through),
      );
      chai.expect(answers).eql([direct, within]);
    });
  }

  it('limits listAllowedVersions to the pinned versions', () => {
    const document = parse(createText()) as configuration.Document;
    const model = document.models.find(found => found.name === 'small')!;
    const versions = configuration.listAllowedVersions(
      [draft, pinned],
      model,
      cascade,
    );
    chai.expect(versions).eql(['v1']);
  });
});
