import * as fs from 'node:fs';
import * as chai from 'chai';
import * as zod from 'zod';
import * as configuration from '@amaranthknot/configuration';
import * as tables from '../src/document-tables.js';

const page = fs.readFileSync(
  new URL('../../../docs/CONFIGURATION.md', import.meta.url),
  'utf8',
);

interface JsonSchema {
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly additionalProperties?: JsonSchema | boolean;
  readonly items?: JsonSchema;
  readonly default?: unknown;
}

/** Leaf keys of a schema with their defaults. */
const listKeys = (
  schema: JsonSchema,
): readonly (readonly [string, unknown])[] => [
  ...Object.entries(schema.properties ?? {}).flatMap(([key, inner]) => {
    const below = listKeys(inner);
    return below.length > 0 ? below : [[key, inner.default] as const];
  }),
  ...(typeof schema.additionalProperties === 'object'
    ? listKeys(schema.additionalProperties)
    : []),
  ...(schema.items ? listKeys(schema.items) : []),
];

const findRows = (key: string): readonly string[] =>
  page
    .split('\n')
    .filter(line => new RegExp(`^\\| \`([\\w.]+\\.)?${key}\``).test(line));

describe('docs/CONFIGURATION.md', () => {
  const schemas = [tables.documentSchema, configuration.settingsSchema];
  for (const schema of schemas) {
    const json = zod.toJSONSchema(schema, {
      unrepresentable: 'any',
      io: 'input',
    });
    for (const [key, value] of listKeys(json as JsonSchema)) {
      it(`has a row for ${key} with its default`, () => {
        const text = value === undefined ? '' : `\`${JSON.stringify(value)}\``;
        const rows = findRows(key).filter(row => row.includes(text));
        chai.expect(rows).not.eql([]);
      });
    }
  }

  for (const code of configuration.PROBLEM_CODES) {
    it(`explains ${code}`, () => {
      chai.expect(page).match(new RegExp(`^\\| \`${code}\` `, 'm'));
    });
  }
});
