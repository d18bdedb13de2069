/** Ends upstreams under requests with one part in their prompts. */
import type * as ports from '@amaranthknot/ports';
import type * as checkNotices from './check-notices.js';

/** The part of prompts under which upstreams end. */
export const FATAL_PART = 'fa7a1';

/** Time for which an upstream is down after an end, in milliseconds. */
export const DOWN_MS = 1_500;

/** Part of the streams that have the part while it is sent. */
const FATAL_FRACTION = 0.3;

/** Prompt of a stream, as its header lists the parts. */
export const formatPrompt = (id: string, isFatal: boolean): string =>
  ['f1:100', ...(isFatal ? [`${FATAL_PART}:50`] : []), `${id}:20`].join();

/** Whether a prompt has the part. */
export const isFatalPrompt = (prompt: string | undefined): boolean =>
  prompt?.includes(`${FATAL_PART}:`) === true;

/** What ending an upstream needs. */
export interface CrashFaultsOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  /** Addresses of all instances for callers. */
  readonly instances: () => readonly string[];
}

/** An upstream that can end and come back. */
export interface CrashableUpstream {
  /** Ends it with all its connections; resolves when nothing listens. */
  readonly crash: () => Promise<void>;
  /** Starts it at a new address under a new id. */
  readonly comeBack: () => Promise<void>;
}

/** Injects these faults and records their outcomes. */
export class CrashFaults {
  readonly arrivals: checkNotices.Arrival[] = [];
  readonly endsMs: number[] = [];
  /** Times in which an upstream was down, for all instances. */
  readonly outages: checkNotices.Disruption[] = [];
  private isSending = false;

  constructor(private readonly options: CrashFaultsOptions) {}

  /** Lets callers send the part for a time. */
  async sendPart(forMs: number): Promise<void> {
    this.isSending = true;
    await this.options.clock.sleep(forMs);
    this.isSending = false;
  }

  /** Whether the next stream has the part. */
  drawIsFatal(): boolean {
    return this.isSending && this.options.random() < FATAL_FRACTION;
  }

  /** Ends an upstream, which comes back later. */
  async end(upstream: CrashableUpstream): Promise<void> {
    const {clock, instances} = this.options;
    const fromMs = clock.now();
    this.endsMs.push(fromMs);
    for (const target of instances()) {
      this.outages.push({target, fromMs, toMs: fromMs + DOWN_MS});
    }
    await upstream.crash();
    await clock.sleep(DOWN_MS);
    await upstream.comeBack();
  }
}
