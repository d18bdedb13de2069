/**
 * Command that runs a bench: `npm run bench -- NAME [--seed N] [--json]`.
 * Without a name it lists the benches.
 */
import * as fs from 'node:fs/promises';
import * as meow from 'meow';
import * as figures from './figure.js';

const DEFAULT_SEED = 1;
const BENCHES = new URL('./benches/', import.meta.url);

const cli = meow.default(
  `
  Usage
    $ npm run bench -- [NAME] [--seed N] [--json]

  Example
    $ npm run bench -- burst --seed 7
`,
  {
    importMeta: import.meta,
    flags: {
      seed: {type: 'number', default: DEFAULT_SEED},
      json: {type: 'boolean', default: false},
    },
  },
);

const listNames = async (): Promise<readonly string[]> => {
  const files = await fs.readdir(BENCHES);
  return files
    .filter(file => file.endsWith('.ts'))
    .map(file => file.slice(0, -'.ts'.length))
    .sort();
};

const load = async (name: string): Promise<figures.Bench> => {
  const module = (await import(new URL(`${name}.ts`, BENCHES).href)) as {
    bench: figures.Bench;
  };
  return module.bench;
};

const printList = async (names: readonly string[]): Promise<void> => {
  for (const name of names) {
    const bench = await load(name);
    process.stdout.write(`${name.padEnd(16)} ${bench.summary}\n`);
  }
};

const formatNumber = (value: number | undefined): string =>
  value === undefined ? '' : String(Number(value.toPrecision(4)));

const formatRow = (cells: readonly string[]): string => {
  const widths = [34, 12, 10, 12, 14, 6];
  return cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' ');
};

const formatTarget = (figure: figures.Figure): string => {
  if (figure.target === undefined) {
    return '';
  }
  const sign = figure.direction === 'at_least' ? '>=' : '<=';
  return `${sign} ${formatNumber(figure.target)}`;
};

const formatMet = (figure: figures.Figure): string => {
  const met = figures.isMet(figure);
  return met === undefined ? '' : met ? 'yes' : 'NO';
};

const printTable = (results: readonly figures.Figure[]): void => {
  const head = ['figure', 'value', 'unit', 'baseline', 'target', 'met'];
  process.stdout.write(`${formatRow(head)}\n`);
  for (const figure of results) {
    const cells = [
      figure.figure,
      formatNumber(figure.value),
      figure.unit,
      formatNumber(figure.baseline),
      formatTarget(figure),
      formatMet(figure),
    ];
    process.stdout.write(`${formatRow(cells)}\n`);
  }
};

const printJson = (
  name: string,
  seed: number,
  results: readonly figures.Figure[],
): void => {
  for (const {direction: _, ...figure} of results) {
    const met = figures.isMet({...figure, ...(_ ? {direction: _} : {})});
    const line = {bench: name, ...figure, seed, met};
    process.stdout.write(`${JSON.stringify(line)}\n`);
  }
};

const main = async (): Promise<void> => {
  const names = await listNames();
  const [name] = cli.input;
  if (!name) {
    await printList(names);
    return;
  }
  if (!names.includes(name)) {
    process.stderr.write(`no bench ${name}; there are: ${names.join(', ')}\n`);
    process.exitCode = 2;
    return;
  }
  const bench = await load(name);
  const results = await bench.run(cli.flags.seed);
  if (cli.flags.json) {
    printJson(name, cli.flags.seed, results);
  } else {
    printTable(results);
  }
};

await main();
