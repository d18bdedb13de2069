/**
 * A model engine in virtual time: a batch that goes on step by step, prompts
 * that are read in chunks between the tokens of other requests, and a cache of
 * shared beginnings of which the least recently used yield.
 */
import type * as ports from '@amaranthknot/ports';
import type * as deployments from './deployment.js';

/** A request to an engine. */
export interface EngineRequest {
  readonly model: deployments.EmulatedModel;
  /** Names the shared beginning of its prompt. */
  readonly subject: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly answerTokens: number;
}

/** A run in progress. */
export interface EngineRun {
  /** Resolves with its first token; never where it was given up before. */
  readonly begun: Promise<void>;
  /** Resolves with its last token, or when it was given up. */
  readonly done: Promise<void>;
  readonly cancel: () => void;
}

/** Prompt tokens that are read between two steps. */
const CHUNK_TOKENS = 4_096;

interface Job {
  readonly request: EngineRequest;
  toRead: number;
  toWrite: number;
  readonly begin: () => void;
  readonly finish: () => void;
}

/** One engine. */
export class EmulatedEngine {
  private readonly waiting: Job[] = [];
  private running: Job[] = [];
  private isAwake = false;
  /** Shared beginnings by name, the least recently used first. */
  private readonly cache = new Map<string, number>();
  private cachedTokens = 0;

  constructor(
    private readonly clock: ports.Clock,
    private readonly shape: deployments.EngineShape,
    private readonly slowness: number,
  ) {}

  /** Requests that run or wait. */
  get load(): number {
    return this.running.length + this.waiting.length;
  }

  /** Takes a request. */
  start(request: EngineRequest): EngineRun {
    let begin: () => void = () => undefined;
    let finish: () => void = () => undefined;
    const begun = new Promise<void>(resolve => (begin = resolve));
    const done = new Promise<void>(resolve => (finish = resolve));
    const job: Job = {
      request,
      toRead: 0,
      toWrite: request.answerTokens,
      begin,
      finish,
    };
    this.waiting.push(job);
    void this.work();
    return {
      begun,
      done,
      cancel: () => {
        this.remove(job);
      },
    };
  }

  private async work(): Promise<void> {
    if (this.isAwake) {
      return;
    }
    this.isAwake = true;
    while (this.load > 0) {
      this.admit();
      const reading = this.running.find(({toRead}) => toRead > 0);
      const chunk = Math.min(CHUNK_TOKENS, reading?.toRead ?? 0);
      const writing = this.running.filter(({toRead}) => toRead === 0);
      await this.clock.sleep(this.findStepMs(reading, chunk, writing));
      if (reading) {
        reading.toRead -= chunk;
      }
      writing.forEach(job => {
        this.write(job);
      });
    }
    this.isAwake = false;
  }

  private admit(): void {
    while (this.running.length < this.shape.slots) {
      const job = this.waiting.shift();
      if (!job) {
        return;
      }
      const {request} = job;
      job.toRead = request.ownTokens + this.findUncached(request);
      this.running.push(job);
    }
  }

  private findStepMs(
    reading: Job | undefined,
    chunk: number,
    writing: readonly Job[],
  ): number {
    const {stepMs, stepMsPerRequest, readTokensPerMs, eventTokens} = this.shape;
    const readMs = reading
      ? (reading.request.model.pace * chunk) / readTokensPerMs
      : 0;
    const paces = writing.reduce((sum, job) => sum + job.request.model.pace, 0);
    const meanPace = writing.length === 0 ? 0 : paces / writing.length;
    const writeMs =
      eventTokens * meanPace * (stepMs + stepMsPerRequest * writing.length);
    return this.slowness * (readMs + writeMs);
  }

  private write(job: Job): void {
    if (!this.running.includes(job)) {
      return;
    }
    job.begin();
    job.toWrite -= this.shape.eventTokens;
    if (job.toWrite <= 0) {
      this.remove(job);
    }
  }

  private remove(job: Job): void {
    this.running = this.running.filter(found => found !== job);
    const place = this.waiting.indexOf(job);
    if (place >= 0) {
      this.waiting.splice(place, 1);
    }
    job.finish();
  }

  /** Tokens of a shared beginning that have to be read; they are kept then. */
  private findUncached({model, subject, sharedTokens}: EngineRequest): number {
    const name = `${model.name}/${subject}`;
    const kept = this.cache.get(name);
    if (kept !== undefined) {
      this.cache.delete(name);
      this.cache.set(name, kept);
      return 0;
    }
    this.cache.set(name, sharedTokens);
    this.cachedTokens += sharedTokens;
    for (const [oldest, tokens] of this.cache) {
      if (this.cachedTokens <= this.shape.cacheTokens) {
        break;
      }
      this.cache.delete(oldest);
      this.cachedTokens -= tokens;
    }
    return sharedTokens;
  }
}
