/**
 * Mocha configuration. Tests that KNOWN-RED.txt lists are skipped and printed;
 * with KNOWN_RED=only, only these run.
 */
const fs = require('node:fs');
const path = require('node:path');

/** One line per test: title | command, seed | what is seen | issue. */
const LIST = path.join(__dirname, 'KNOWN-RED.txt');

const readTitles = () =>
  fs
    .readFileSync(LIST, 'utf8')
    .split('\n')
    .filter(line => line !== '' && !line.startsWith('#'))
    .map(line => line.split(' | ')[0]);

const escape = text => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');

const titles = readTitles();
const isOnly = process.env['KNOWN_RED'] === 'only';

for (const title of titles) {
  console.log(`known red, ${isOnly ? 'run' : 'passed over'}: ${title}`);
}

const pattern = `^(${titles.map(escape).join('|')})$`;

module.exports = {
  import: 'tsx',
  spec: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
  timeout: 60000,
  forbidOnly: true,
  forbidPending: true,
  reporter: 'dot',
  exit: true,
  ...(titles.length === 0 ? {} : {grep: pattern, invert: !isOnly}),
};
