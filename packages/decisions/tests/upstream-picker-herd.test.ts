import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';

/** Time between two steps of the simulation, in ms. */
const STEP_MS = 5;

/** Time between two reports of an instance, in ms. */
const REPORT_MS = 430;

const LENGTH_MS = 10_000;

/** Prompt tokens that an engine processes per ms. */
const PREFILL_TOKENS_PER_MS = 112;

interface Load {
  readonly instances: number;
  readonly engines: number;
  /** Long prompts per second, from all callers together. */
  readonly perSecond: number;
}

const PROMPT = {
  promptTokens: 9_200,
  answerTokens: 50,
  prefixTokens: 0,
  prefixKey: undefined,
};

const ZONES = ['a', 'b', 'c'] as const;

interface Waiting {
  readonly endMs: number;
  readonly attempt: decisions.UpstreamAttempt;
}

const sumReports = (
  reports: readonly (readonly decisions.UpstreamReport[])[],
): readonly decisions.UpstreamReport[] => {
  const sums = new Map<string, decisions.UpstreamReport>();
  for (const report of reports.flat()) {
    const {id} = report;
    const sum = sums.get(id);
    sums.set(
      id,
      sum
        ? {
            id,
            inFlight: sum.inFlight + report.inFlight,
            waitingTokens: sum.waitingTokens + report.waitingTokens,
            tokensPerS: sum.tokensPerS + report.tokensPerS,
            answered: sum.answered + report.answered,
            failed: sum.failed + report.failed,
          }
        : report,
    );
  }
  return [...sums.values()];
};

/**
 * Sorted times to the first token, in ms, of prompts that are placed by many
 * instances, each of which knows the others' load only from reports.
 */
const simulateWaits = ({
  instances,
  engines,
  perSecond,
}: Load): readonly number[] => {
  const random = fakes.createRandom(11);
  let nowMs = 0;
  const pickers = Array.from(
    {length: instances},
    (_, i) =>
      new decisions.UpstreamPicker({
        zone: ZONES[i % ZONES.length] ?? 'a',
        now: () => nowMs,
        random,
        onEject: () => undefined,
      }),
  );
  const candidates = Array.from({length: engines}, (_, i) => ({
    id: `engine-${i}`,
    zone: ZONES[i % ZONES.length] ?? 'a',
    slots: 128,
  }));
  pickers.forEach(picker => picker.pick(candidates, PROMPT));
  const freeAtMs = new Map(candidates.map(({id}) => [id, 0]));
  const reports: (readonly decisions.UpstreamReport[])[] = pickers.map(
    () => [],
  );
  const offsets = pickers.map(() => random() * REPORT_MS);
  let waiting: Waiting[] = [];
  const waits: number[] = [];

  const exchange = (index: number): void => {
    reports[index] = pickers[index]?.report() ?? [];
    const others = reports.filter((_, other) => other !== index);
    pickers[index]?.merge('watcher', sumReports(others), 'others');
  };
  const place = (): void => {
    const picker = pickers[Math.floor(random() * instances)];
    const picked = picker?.pick(candidates, PROMPT);
    if (!picker || !picked) {
      return;
    }
    const attempt = picker.start(picked.id, PROMPT);
    const beginMs = Math.max(nowMs, freeAtMs.get(picked.id) ?? 0);
    const endMs = beginMs + PROMPT.promptTokens / PREFILL_TOKENS_PER_MS;
    freeAtMs.set(picked.id, endMs);
    waits.push(endMs - nowMs);
    waiting.push({endMs, attempt});
  };
  for (; nowMs < LENGTH_MS; nowMs += STEP_MS) {
    waiting
      .filter(({endMs}) => endMs <= nowMs)
      .forEach(({attempt}) => {
        attempt.end('answered');
      });
    waiting = waiting.filter(({endMs}) => endMs > nowMs);
    offsets.forEach((offset, index) => {
      if ((nowMs + offset) % REPORT_MS < STEP_MS) {
        exchange(index);
      }
    });
    for (let left = (perSecond * STEP_MS) / 1_000; left > 0; left--) {
      if (random() < left) {
        place();
      }
    }
  }
  return waits.sort((a, b) => a - b);
};

describe('UpstreamPicker on many instances', () => {
  const loads: readonly (Load & {readonly name: string})[] = [
    {name: '6 before 8 engines', instances: 6, engines: 8, perSecond: 40},
    {name: '73 before 30', instances: 73, engines: 30, perSecond: 150},
    {name: '195 before 48', instances: 195, engines: 48, perSecond: 240},
  ];
  for (const {name, ...load} of loads) {
    it(`does not send a burst of prompts to one engine: ${name}`, () => {
      // All instances chose the engine that had looked idle half a second ago:
      // fifteen of forty prompts went to one engine of thirty, and callers
      // waited behind them for seconds.
      const waits = simulateWaits(load);
      const prefillMs = PROMPT.promptTokens / PREFILL_TOKENS_PER_MS;
      const p99 = waits[Math.floor(waits.length * 0.99)] ?? Infinity;
      chai.expect(p99).below(5 * prefillMs);
    });
  }
});
