/** Runs one case, and ends with the exit code that its script promises. */
import * as path from 'node:path';
import * as deployment from './deployment.js';

/** What a case saw. */
export interface Finding {
  /** Whether the rule was broken. */
  readonly isBroken: boolean;
  /** What the judgement rests on; goes into the record too. */
  readonly details: object;
}

/** Plays a case; undefined if it couldn't run. */
export type PlayCase = (
  system: deployment.Deployment,
  hasTrouble: boolean,
) => Promise<Finding | undefined>;

/** Time after which a case counts as one that couldn't run, in milliseconds. */
const LIMIT_MS = 100_000;

const EXIT_CODES = {held: 0, broken: 1, notRun: 2} as const;

/** Plays the case whose folder the command line names. */
export const runCase = (play: PlayCase): void => {
  const [folder = '.'] = process.argv.slice(2);
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const system = new deployment.Deployment(path.join(folder, 'record.txt'));
  const finish = (outcome: keyof typeof EXIT_CODES, details: object) => {
    const line = {outcome, hasTrouble, ...details};
    system.record(line);
    console.log(JSON.stringify(line));
    process.exit(EXIT_CODES[outcome]);
  };
  setTimeout(() => {
    finish('notRun', {reason: 'time limit'});
  }, LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      finish('notRun', {reason: signal});
    });
  }
  play(system, hasTrouble).then(
    finding => {
      if (finding) {
        finish(finding.isBroken ? 'broken' : 'held', finding.details);
      } else {
        finish('notRun', {reason: 'not started'});
      }
    },
    (error: unknown) => {
      const reason = error instanceof Error ? error.stack : String(error);
      finish('notRun', {reason});
    },
  );
};
