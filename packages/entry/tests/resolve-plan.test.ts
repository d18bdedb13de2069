import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';
import * as resolvePlan from '../src/resolve-plan.js';

const TEXT = `
[models.small]
cost_per_thousand_tokens = 0.1
default_version = "v1"
[models.small.versions.v1]
[models.small.versions.v2]
[models.large]
cost_per_thousand_tokens = 2
default_version = "v1"
[models.large.versions.v1]
[cascades.answers]
stages = ["small", "large"]
[workspaces.north]
keys = ["sha256:${'ab'.repeat(32)}"]
quality_target = 0.9
priority = "interactive"
weight = 1
default_cascade = "answers"
[workspaces.north.limits]
max_concurrent = 1
max_queued = 1
max_wait_ms = 1
[[rules]]
workspaces = ["north"]
allow = ["cascade:answers", "model:small@v1"]
[zones.zone-a]
state = "in"
`;

const parse = (text: string): configuration.Document =>
  configuration
    .parseDocument(text, 'test.toml')
    .mapLeft(problems => new Error(JSON.stringify(problems)))
    .unsafeCoerce();

const resolve = (document: configuration.Document, requested: string) => {
  const workspace = document.workspaces[0];
  chai.assert.isDefined(workspace);
  return resolvePlan.resolvePlan(document, workspace, requested);
};

describe('resolvePlan', () => {
  for (const requested of ['', 'auto', 'answers', 'small', 'small@v1']) {
    it(`resolves '${requested}' and caches the plan`, () => {
      const document = parse(TEXT);
      const first = resolve(document, requested);
      chai.assert.isTrue(first.isRight());
      chai.assert.strictEqual(resolve(document, requested), first);
    });
  }

  // If text after a version were ignored, callers could name one model in any
  // number of ways, each of which would be cached.
  for (const requested of [
    'small@v2',
    'small@v1@v1',
    'small@',
    '@v1',
    'large',
    'other',
    '__proto__',
  ]) {
    it(`refuses '${requested}'`, () => {
      const refused = resolve(parse(TEXT), requested);
      const code = refused.caseOf<string>({
        Left: error => error.code,
        Right: plan => `resolved ${plan.name}`,
      });
      chai.assert.strictEqual(code, 'model_not_found');
    });
  }

  it('does not reuse plans of an earlier configuration', () => {
    const before = parse(TEXT);
    const after = parse(TEXT.replace(', "model:small@v1"', ''));
    chai.assert.isTrue(resolve(before, 'small').isRight());
    chai.assert.isTrue(resolve(after, 'small').isLeft());
  });
});
