/**
 * Emulated model engine in virtual time, with continuous batching, chunked
 * prefill between the decode steps of other requests, and an LRU cache of
 * prompt prefixes.
 */
import type * as ports from '@amaranthknot/ports';
import type * as deployments from './deployment.js';

/** A request to an engine. */
export interface EngineRequest {
  readonly model: deployments.EmulatedModel;
  /** Identifies the shared prefix of the prompt. */
  readonly prefixKey: string;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly answerTokens: number;
}

/** A request in progress. */
export interface EngineRun {
  /** Resolves at the first token; never if cancelled before. */
  readonly firstToken: Promise<void>;
  /** Resolves at the last token, or when cancelled. */
  readonly done: Promise<void>;
  readonly cancel: () => void;
}

/** Most prompt tokens that are processed in one step. */
const PREFILL_CHUNK_TOKENS = 4_096;

interface Job {
  readonly request: EngineRequest;
  remainingPrefill: number;
  remainingDecode: number;
  readonly begin: () => void;
  readonly finish: () => void;
}

/** One engine, whose times are multiplied by `slowdown`. */
export class EmulatedEngine {
  private readonly waiting: Job[] = [];
  private running: Job[] = [];
  private isRunning = false;
  /** Tokens of cached prefixes by model and key, least recently used first. */
  private readonly cache = new Map<string, number>();
  private cachedTokens = 0;

  constructor(
    private readonly clock: ports.Clock,
    private readonly shape: deployments.EngineShape,
    private readonly slowdown: number,
  ) {}

  /** Requests that run or wait for a slot. */
  get load(): number {
    return this.running.length + this.waiting.length;
  }

  /** Queues a request and starts it when a slot is free. */
  start(request: EngineRequest): EngineRun {
    let begin: () => void = () => undefined;
    let finish: () => void = () => undefined;
    const firstToken = new Promise<void>(resolve => (begin = resolve));
    const done = new Promise<void>(resolve => (finish = resolve));
    const job: Job = {
      request,
      remainingPrefill: 0,
      remainingDecode: request.answerTokens,
      begin,
      finish,
    };
    this.waiting.push(job);
    void this.runBatch();
    return {
      firstToken,
      done,
      cancel: () => {
        this.remove(job);
      },
    };
  }

  private async runBatch(): Promise<void> {
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    while (this.load > 0) {
      this.admit();
      const prefilling = this.running.find(
        ({remainingPrefill}) => remainingPrefill > 0,
      );
      const chunk = Math.min(
        PREFILL_CHUNK_TOKENS,
        prefilling?.remainingPrefill ?? 0,
      );
      const decoding = this.running.filter(
        ({remainingPrefill}) => remainingPrefill === 0,
      );
      await this.clock.sleep(this.findStepMs(prefilling, chunk, decoding));
      if (prefilling) {
        prefilling.remainingPrefill -= chunk;
      }
      decoding.forEach(job => {
        this.decode(job);
      });
    }
    this.isRunning = false;
  }

  private admit(): void {
    while (this.running.length < this.shape.slots) {
      const job = this.waiting.shift();
      if (!job) {
        return;
      }
      const {request} = job;
      job.remainingPrefill =
        request.suffixTokens + this.findUncachedTokens(request);
      this.running.push(job);
    }
  }

  private findStepMs(
    prefilling: Job | undefined,
    chunk: number,
    decoding: readonly Job[],
  ): number {
    const {stepMs, stepMsPerRequest, prefillTokensPerMs, eventTokens} =
      this.shape;
    const prefillMs = prefilling
      ? (prefilling.request.model.pace * chunk) / prefillTokensPerMs
      : 0;
    const paces = decoding.reduce(
      (sum, job) => sum + job.request.model.pace,
      0,
    );
    const meanPace = decoding.length === 0 ? 0 : paces / decoding.length;
    const decodeMs =
      eventTokens * meanPace * (stepMs + stepMsPerRequest * decoding.length);
    return this.slowdown * (prefillMs + decodeMs);
  }

  private decode(job: Job): void {
    if (!this.running.includes(job)) {
      return;
    }
    job.begin();
    job.remainingDecode -= this.shape.eventTokens;
    if (job.remainingDecode <= 0) {
      this.remove(job);
    }
  }

  private remove(job: Job): void {
    this.running = this.running.filter(found => found !== job);
    const index = this.waiting.indexOf(job);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
    job.finish();
  }

  /** Prefix tokens that must be processed; the prefix is cached from now on. */
  private findUncachedTokens({
    model,
    prefixKey,
    prefixTokens,
  }: EngineRequest): number {
    const name = `${model.name}/${prefixKey}`;
    const cached = this.cache.get(name);
    if (cached !== undefined) {
      this.cache.delete(name);
      this.cache.set(name, cached);
      return 0;
    }
    this.cache.set(name, prefixTokens);
    this.cachedTokens += prefixTokens;
    for (const [oldest, tokens] of this.cache) {
      if (this.cachedTokens <= this.shape.cacheTokens) {
        break;
      }
      this.cache.delete(oldest);
      this.cachedTokens -= tokens;
    }
    return prefixTokens;
  }
}
