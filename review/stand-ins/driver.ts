/**
 * Client and judge. Sends requests one after the other, has the runner of one
 * of them killed while it answers, and checks that no answer that has ended
 * early looks complete.
 *
 * Usage: driver.cjs KIND TROUBLE RECORD FRONT,FRONT READY,READY
 *
 * Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as answers from './answers.js';

const [kindText, trouble = '1', record = '', fronts = '', readies = ''] =
  process.argv.slice(2);
const kind = answers.parseKind(kindText);
const isTrouble = trouble !== '0';

const REQUESTS = 12;
/** The request, from 0, whose runner is killed. */
const KILLED = 5;
const START_LIMIT_MS = 30_000;
const POLL_MS = 5;

interface Line {
  readonly event: string;
  readonly attempt?: string;
  readonly piece?: number;
  readonly pid?: number;
}

interface Answer {
  readonly status: number;
  readonly isSealed: boolean;
  /** Whether it ended as its framing says. */
  readonly isComplete: boolean;
  readonly body: string;
}

const log = (event: string, details: Record<string, unknown>): void => {
  const line = {at: Date.now(), event, ...details};
  fs.appendFileSync(record, `${JSON.stringify(line)}\n`);
};

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

const call = (
  address: string,
  method: string,
  path: string,
  headers: Record<string, string>,
): Promise<Answer> =>
  new Promise(resolve => {
    const [host = '', port = ''] = address.split(':');
    const chunks: Buffer[] = [];
    const finish = (
      response: http.IncomingMessage | undefined,
      isComplete: boolean,
    ): void => {
      resolve({
        status: response?.statusCode ?? 0,
        isSealed: response?.headers['x-server-seal'] !== undefined,
        isComplete,
        body: Buffer.concat(chunks).toString(),
      });
    };
    const request = http.request(
      {host, port: Number(port), method, path, headers, agent: false},
      response => {
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.once('end', () => {
          finish(response, response.complete);
        });
        response.once('error', () => {
          finish(response, false);
        });
      },
    );
    request.once('error', () => {
      finish(undefined, false);
    });
    request.end(method === 'POST' ? 'body' : undefined);
  });

const waitUntilReady = async (): Promise<boolean> => {
  const endMs = Date.now() + START_LIMIT_MS;
  while (Date.now() < endMs) {
    const found = await Promise.all(
      readies
        .split(',')
        .map(address => call(address, 'GET', '/amaranthknot/ready', {})),
    );
    if (found.every(({status}) => status === 200)) {
      return true;
    }
    await sleep(100);
  }
  return false;
};

const readRecord = (): readonly Line[] =>
  fs
    .readFileSync(record, 'utf8')
    .split('\n')
    .filter(text => text.startsWith('{') && text.endsWith('}'))
    .map(text => JSON.parse(text) as Line);

/** Kills the runner of a request once it has sent some pieces of the answer. */
const killRunner = async (attempt: string): Promise<boolean> => {
  const endMs = Date.now() + 5_000;
  while (Date.now() < endMs) {
    const sent = readRecord().find(
      line =>
        line.event === 'sent_piece' &&
        line.attempt === attempt &&
        line.piece === answers.PIECES_BEFORE_KILL[kind],
    );
    if (sent?.pid !== undefined) {
      // The piece has left the runner before it ends.
      await sleep(answers.PAUSE_MS[kind] / 3);
      process.kill(sent.pid, 'SIGKILL');
      log('killed', {attempt, pid: sent.pid});
      return true;
    }
    await sleep(POLL_MS);
  }
  return false;
};

const main = async (): Promise<number> => {
  if (!(await waitUntilReady())) {
    log('not_ready', {});
    return 2;
  }
  // Traffic starts some seconds after the machines do.
  await sleep(3_500);
  const addresses = fronts.split(',');
  let broken = 0;
  let whole = 0;
  let killed = !isTrouble;
  for (let index = 0; index < REQUESTS; index++) {
    const attempt = `${kind}-${index}`;
    const front = addresses[index % addresses.length] ?? '';
    log('sent', {attempt, front});
    const answered = call(front, 'POST', `/${kind}/x`, {
      Host: 'review.example',
      'X-Attempt-Id': attempt,
      'X-Remaining-Milliseconds': '5000',
      'Api-Key': 'key-one',
      'Content-Length': '4',
    });
    if (isTrouble && index === KILLED) {
      killed = await killRunner(attempt);
    }
    const answer = await answered;
    const isWhole = answer.body === answers.piecesOf(kind, attempt).join('');
    const isSuccess =
      answer.status >= 200 && answer.status < 300 && answer.isComplete;
    const isBroken = isSuccess && !isWhole;
    broken += isBroken ? 1 : 0;
    whole += isSuccess && isWhole ? 1 : 0;
    log(isBroken ? 'answered_short' : 'answered', {
      attempt,
      status: answer.status,
      isSealed: answer.isSealed,
      looksComplete: answer.isComplete,
      bytes: answer.body.length,
      ofBytes: answers.piecesOf(kind, attempt).join('').length,
    });
  }
  log('result', {broken, whole, of: REQUESTS});
  if (!killed || whole < REQUESTS - 1) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
};

void main().then(code => {
  process.exitCode = code;
});
