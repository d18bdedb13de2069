/**
 * Simulated model engine: a batch of slots, a priority queue, a prefix cache of
 * limited size, and a speed that can change.
 */
import * as heap from 'heap-js';
import type * as simulation from './simulation.js';

/** A request sent to an upstream. */
export interface Work {
  /** Service time at full speed without a cached prefix. */
  readonly serviceMs: number;
  /** Lower goes first. */
  readonly priority: number;
  readonly prefix?: string;
  /** Called when the work is finished; not called if it was cancelled. */
  readonly finish: () => void;
}

interface Job {
  readonly work: Work;
  readonly order: number;
  state: 'waiting' | 'running' | 'over';
}

/** Options of an upstream. */
export interface UpstreamModelOptions {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Number of prefixes that the cache holds. */
  readonly cacheSize?: number;
}

/** Fraction of the service time that a cached prefix saves. */
const CACHE_SAVING = 0.4;

const DEFAULT_CACHE_SIZE = 20;

/** An upstream in virtual time. */
export class UpstreamModel {
  /** Factor on service times; 1 is full speed. */
  slowdown = 1;
  hits = 0;
  lookUps = 0;
  /** Slot time of finished work, in milliseconds. */
  busyMs = 0;
  private running = 0;
  private order = 0;
  private waiting = 0;
  private readonly queue = new heap.Heap<Job>(
    (a, b) => a.work.priority - b.work.priority || a.order - b.order,
  );
  private readonly cache = new Set<string>();

  constructor(
    private readonly time: simulation.Simulation,
    readonly options: UpstreamModelOptions,
  ) {}

  /** Number of requests that run or wait. */
  get load(): number {
    return this.running + this.waiting;
  }

  /** Whether a prefix is cached. */
  holds(prefix: string): boolean {
    return this.cache.has(prefix);
  }

  /** Queues work; the returned function cancels it. */
  send(work: Work): () => void {
    const job: Job = {work, order: this.order++, state: 'waiting'};
    this.queue.push(job);
    this.waiting++;
    this.fill();
    return () => this.cancel(job);
  }

  private cancel(job: Job): void {
    if (job.state === 'over') {
      return;
    }
    if (job.state === 'running') {
      this.running--;
    } else {
      this.waiting--;
    }
    job.state = 'over';
    this.fill();
  }

  private fill(): void {
    while (this.running < this.options.slots && this.waiting > 0) {
      const job = this.queue.pop();
      if (job?.state === 'waiting') {
        this.waiting--;
        this.run(job);
      }
    }
  }

  private run(job: Job): void {
    job.state = 'running';
    this.running++;
    const {work} = job;
    const saved = this.touch(work.prefix) ? CACHE_SAVING : 0;
    const serviceMs = work.serviceMs * (1 - saved) * this.slowdown;
    this.time.after(serviceMs, () => {
      if (job.state === 'running') {
        job.state = 'over';
        this.running--;
        this.busyMs += serviceMs;
        work.finish();
        this.fill();
      }
    });
  }

  /** Looks a prefix up in the LRU cache and adds it; returns whether it was hit. */
  private touch(prefix: string | undefined): boolean {
    if (prefix === undefined) {
      return false;
    }
    this.lookUps++;
    const isHit = this.cache.delete(prefix);
    this.hits += isHit ? 1 : 0;
    this.cache.add(prefix);
    const size = this.options.cacheSize ?? DEFAULT_CACHE_SIZE;
    if (this.cache.size > size) {
      const [oldest] = this.cache;
      this.cache.delete(oldest ?? prefix);
    }
    return isHit;
  }
}
