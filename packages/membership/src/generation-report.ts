/**
 * Asks instances which generation is active, for `apply --wait` and for
 * operators.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';

/** Instances asked in parallel; 1,000 are asked in about 32 rounds. */
const PARALLEL_CALLS = 32;

/** Time between rounds of calls, in milliseconds. */
const POLL_INTERVAL_MS = 250;

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** One instance's answer, or why there is none. */
export interface GenerationReport {
  readonly id: string;
  readonly zone: string;
  readonly generation?: number;
  readonly standing?: protocol.Standing;
  readonly error?: protocol.PeerError;
}

/** An instance to ask. */
export type ReportedInstance = Pick<protocol.Peer, 'id' | 'address' | 'zone'>;

const ask = async (
  transport: protocol.PeerTransport,
  instance: ReportedInstance,
  environment: string,
): Promise<GenerationReport> => {
  const {id, zone, address} = instance;
  const answer = await protocol.callPeer(
    transport,
    address,
    'report_generation',
    {environment},
    CALL_TIMEOUT_MS,
  );
  return answer
    .map(({generation = 0, standing}): GenerationReport => ({
      id,
      zone,
      generation,
      standing,
    }))
    .mapLeft((error): GenerationReport => ({id, zone, error}))
    .extract();
};

/** Asks each instance which generation is active there. */
export const collectGenerations = async (
  transport: protocol.PeerTransport,
  instances: readonly ReportedInstance[],
  environment: string,
): Promise<readonly GenerationReport[]> => {
  const reports: GenerationReport[] = [];
  for (let i = 0; i < instances.length; i += PARALLEL_CALLS) {
    const batch = instances.slice(i, i + PARALLEL_CALLS);
    const answers = batch.map(each => ask(transport, each, environment));
    reports.push(...(await Promise.all(answers)));
  }
  return reports;
};

/** Outcome of waiting for a generation. */
export interface WaitOutcome {
  readonly inForce: readonly GenerationReport[];
  /** Instances with an older generation, or without an answer. */
  readonly missing: readonly GenerationReport[];
}

/** Settings of a wait for a generation. */
export interface WaitOptions {
  readonly transport: protocol.PeerTransport;
  readonly clock: ports.Clock;
  readonly environment: string;
  readonly generation: number;
  readonly timeoutMs: number;
}

/**
 * Waits until all instances report `generation` or a later one, or until the
 * time is over, and returns which of them do.
 */
export const waitUntilActive = async (
  instances: readonly ReportedInstance[],
  options: WaitOptions,
): Promise<WaitOutcome> => {
  const {transport, clock, environment, generation, timeoutMs} = options;
  const end = clock.now() + timeoutMs;
  const inForce: GenerationReport[] = [];
  let pending = instances;
  for (;;) {
    const reports = await collectGenerations(transport, pending, environment);
    const isReached = (report: GenerationReport): boolean =>
      (report.generation ?? 0) >= generation;
    inForce.push(...reports.filter(isReached));
    const missing = reports.filter(report => !isReached(report));
    if (missing.length === 0 || clock.now() >= end) {
      return {inForce, missing};
    }
    const ids = new Set(missing.map(report => report.id));
    pending = pending.filter(instance => ids.has(instance.id));
    await clock.sleep(POLL_INTERVAL_MS);
  }
};
