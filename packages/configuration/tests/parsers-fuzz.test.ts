import * as fs from 'node:fs';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as toml from 'smol-toml';
import * as configuration from '@amaranthknot/configuration';

const SEED = 20_260_812;
const RUNS = 300;

/** Characters with a meaning in TOML, and a few others. */
const TOML_CHARACTERS = Array.from('[]{}="\'.,#\n a1\\\t');

const read = (file: string): string =>
  fs.readFileSync(
    new URL(`../../../examples/${file}`, import.meta.url),
    'utf8',
  );

/** Tables whose keys are names that operators choose. */
const NAMED_TABLES: ReadonlySet<string> = new Set([
  'models',
  'versions',
  'cascades',
  'services',
  'workspaces',
  'zones',
  'rollouts',
]);

type Parse = (
  text: string,
  file: string,
) => ReturnType<typeof configuration.parseDocument>;

const parsers: readonly (readonly [string, Parse, string])[] = [
  ['parseDocument', configuration.parseDocument, read('rostering.toml')],
  [
    'parseSettings',
    configuration.parseSettings as unknown as Parse,
    read('settings.toml'),
  ],
  [
    'parseInstances',
    configuration.parseInstances as unknown as Parse,
    read('rostering-instances.toml'),
  ],
];

const problemsOf = (
  parse: Parse,
  text: string,
): readonly configuration.Problem[] =>
  parse(text, 'x.toml').swap().orDefault([]);

/** Checks that each problem names the file, a key and an existing line. */
const checkLocations = (
  found: readonly configuration.Problem[],
  text: string,
): void => {
  const count = text.split('\n').length;
  for (const problem of found) {
    chai.expect(problem.file).equal('x.toml');
    chai.expect(problem.key).not.equal('');
    chai.expect(problem.message).not.equal('');
    chai.expect(problem.line ?? 1).within(1, count);
  }
};

type Tree = Record<string, unknown>;

/** Paths of all values of a TOML tree. */
const listPaths = (
  value: unknown,
  path: readonly string[] = [],
): readonly (readonly string[])[] =>
  typeof value === 'object' && value !== null
    ? Object.entries(value).flatMap(([key, inner]) => [
        [...path, key],
        ...listPaths(inner, [...path, key]),
      ])
    : [];

const replaceAt = (
  tree: Tree,
  path: readonly string[],
  replace: (holder: Tree, key: string) => void,
): Tree => {
  const copy = structuredClone(tree);
  const holder = path
    .slice(0, -1)
    .reduce<Tree>((inner, key) => inner[key] as Tree, copy);
  replace(holder, path.at(-1)!);
  return copy;
};

const anyValue = fc.oneof(
  fc.string(),
  fc.integer(),
  fc.double({noNaN: true, noDefaultInfinity: true}),
  fc.boolean(),
  fc.constantFrom('__proto__', 'constructor', '*', '', 'model:', 'a@b'),
  fc.array(fc.string()),
  fc.dictionary(fc.constantFrom('constructor', 'x', 'state'), fc.string()),
);

describe('parsers of invalid input', () => {
  for (const [name, parse, example] of parsers) {
    const options = {seed: SEED, numRuns: RUNS};
    const tree = toml.parse(example) as Tree;
    const paths = listPaths(tree);

    it(`${name} reports problems at valid locations for any text`, () => {
      const texts = fc.oneof(
        fc.string({unit: 'binary', maxLength: 200}),
        fc.array(fc.constantFrom(...TOML_CHARACTERS), {maxLength: 60}),
      );
      fc.assert(
        fc.property(texts, drawn => {
          const text = typeof drawn === 'string' ? drawn : drawn.join('');
          checkLocations(problemsOf(parse, text), text);
        }),
        options,
      );
    });

    it(`${name} handles an example with text removed and inserted`, () => {
      const place = fc.nat(example.length);
      fc.assert(
        fc.property(place, fc.nat(40), fc.string(), (start, length, added) => {
          const rest = example.slice(start + length);
          const text = example.slice(0, start) + added + rest;
          checkLocations(problemsOf(parse, text), text);
        }),
        options,
      );
    });

    it(`${name} handles any value at any key`, () => {
      fc.assert(
        fc.property(fc.constantFrom(...paths), anyValue, (path, value) => {
          const changed = replaceAt(tree, path, (holder, key) => {
            holder[key] = value;
          });
          const text = toml.stringify(changed);
          checkLocations(problemsOf(parse, text), text);
        }),
        options,
      );
    });

    it(`${name} reports each misspelt key at its line`, () => {
      fc.assert(
        fc.property(fc.constantFrom(...paths), path => {
          const key = path.at(-1)!;
          if (/^\d+$/.test(key)) {
            return; // Array elements have no keys.
          }
          const changed = replaceAt(tree, path, (holder, old) => {
            holder[`${old}-x`] = holder[old];
            Reflect.deleteProperty(holder, old);
          });
          const text = toml.stringify(changed);
          const lines = text.split('\n');
          const found = problemsOf(parse, text);
          const named = found.filter(problem => {
            const own = problem.key.includes(`${key}-x`);
            return own || problem.message.includes(key);
          });
          // Names that nothing refers to can be changed without a problem.
          const isName = NAMED_TABLES.has(path.at(-2) ?? '');
          chai
            .expect(named.length > 0 || (isName && found.length === 0))
            .equal(true);
          for (const problem of named) {
            if (problem.code === 'unknown_key') {
              chai.expect(lines[problem.line! - 1]).contain(`${key}-x`);
            }
          }
        }),
        options,
      );
    });
  }

  it('reports any two of the injected faults together', () => {
    const text = read('meetups.toml');
    const faults: readonly (readonly [string, string, string])[] = [
      ['cost_per_call = 0.01', 'cost_per_cal = 0.01', 'unknown_key'],
      ['"guide-medium"]', '"guide-mediun"]', 'dangling_name'],
      ['steps = [0.05, 0.25, 1]', 'steps = [0.05, 0.25]', 'steps_not_complete'],
      ['successor = "2026-10"', '', 'no_live_successor'],
      ['priority = "batch"', 'priority = "bach"', 'invalid_value'],
      ['["door-hosts", "event-hosts"]', '["doorhosts"]', 'dangling_name'],
      ['to = "2026-11"', 'to = "2026-07"', 'rollout_withdrawn'],
      ['weight = 0.5', 'weight = -1', 'out_of_range'],
    ];
    const codesOf = (changed: string): readonly string[] =>
      problemsOf(configuration.parseDocument, changed).map(one => one.code);
    for (const [from, to, code] of faults) {
      for (const [otherFrom, otherTo, otherCode] of faults) {
        const faulty = text.replace(from, to).replace(otherFrom, otherTo);
        chai.expect(codesOf(faulty)).include.members([code, otherCode]);
      }
    }
  });

  it('refuses deep nesting without a stack overflow', () => {
    const text = `x = ${'['.repeat(100_000)}${']'.repeat(100_000)}`;
    const found = problemsOf(configuration.parseDocument, text);
    chai.expect(found.map(one => one.code)).eql(['syntax']);
  });
});
