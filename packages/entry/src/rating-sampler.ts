/**
 * Sends a sample of the answers to the rating service and reports their ratings
 * when they arrive. Answers that are never rated are evicted.
 */
import * as lruCache from 'lru-cache';
import type * as ports from '@amaranthknot/ports';

/** Properties of a sampled answer, kept until its rating arrives. */
export interface SampledAnswer {
  readonly workspace: string;
  readonly task: string;
  readonly model: string;
  readonly version: string;
  /** Whether an earlier stage's answer was rejected. */
  readonly escalated: boolean;
  readonly score: number;
  /** The workspace's quality target. */
  readonly target: number;
}

/** Dependencies and settings of a `RatingSampler`. */
export interface RatingSamplerOptions {
  readonly service: ports.RatingService;
  /** Incarnation of this instance; ratings are collected under this name. */
  readonly source: string;
  readonly random: () => number;
  readonly onRating: (answer: SampledAnswer, rating: number) => void;
}

/** Maximum number of answers without a rating; they take about 3 MB. */
const MAX_UNRATED_ANSWERS = 10_000;

/** Maximum number of unsent samples; in an outage the oldest are dropped. */
const MAX_QUEUED_SAMPLES = 200;

/** Characters to which a prompt or answer is truncated for rating. */
const MAX_TEXT_LENGTH = 8_192;

/** Samples answers, and reports their ratings to `onRating`. */
export class RatingSampler {
  private readonly unrated = new lruCache.LRUCache<string, SampledAnswer>({
    max: MAX_UNRATED_ANSWERS,
  });
  private queue: ports.RatingSample[] = [];
  private cursor = 0;

  constructor(private readonly options: RatingSamplerOptions) {}

  /** Samples an answer with probability `sampleRate`, 0 to 1. */
  offer(
    sampleRate: number,
    answer: SampledAnswer,
    text: {
      readonly requestId: string;
      readonly prompt: string;
      readonly answer: string;
    },
  ): void {
    if (this.options.random() >= sampleRate) {
      return;
    }
    this.unrated.set(text.requestId, answer);
    this.queue.push({
      requestId: text.requestId,
      model: `${answer.model}@${answer.version}`,
      task: answer.task,
      prompt: text.prompt.slice(0, MAX_TEXT_LENGTH),
      answer: text.answer.slice(0, MAX_TEXT_LENGTH),
    });
    if (this.queue.length > MAX_QUEUED_SAMPLES) {
      this.queue.shift();
    }
  }

  /** Submits queued samples and collects new ratings. */
  async exchange(): Promise<void> {
    const {service, source} = this.options;
    if (this.queue.length > 0) {
      const sent = this.queue;
      this.queue = [];
      const submitted = await service.submit(source, sent);
      if (submitted.isLeft()) {
        this.queue = [...sent, ...this.queue].slice(-MAX_QUEUED_SAMPLES);
      }
    }
    if (this.unrated.size === 0) {
      return;
    }
    const batch = await service.collect(source, this.cursor);
    batch.ifRight(({ratings, cursor}) => {
      this.cursor = cursor;
      for (const {requestId, rating} of ratings) {
        this.dispatchRating(requestId, rating);
      }
    });
  }

  private dispatchRating(requestId: string, rating: number): void {
    const answer = this.unrated.get(requestId);
    if (answer) {
      this.unrated.delete(requestId);
      this.options.onRating(answer, rating);
    }
  }
}
