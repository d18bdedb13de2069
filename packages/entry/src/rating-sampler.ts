/**
 * Sends a sample of answers to the rating service and hands out the ratings
 * when they come. An answer whose rating never comes is forgotten.
 */
import * as lruCache from 'lru-cache';
import type * as ports from '@amaranthknot/ports';

/** What is remembered of a sampled answer until its rating comes. */
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

/** What the desk works with. */
export interface RatingSamplerOptions {
  readonly service: ports.RatingService;
  /** Names this start of this instance. */
  readonly source: string;
  readonly random: () => number;
  readonly onRating: (answer: SampledAnswer, rating: number) => void;
}

/** Answers that wait for their rating: about 3 MB. */
const MAX_UNRATED_ANSWERS = 10_000;

/** Answers that wait to be sent; past it, as in an outage, the oldest go. */
const MAX_QUEUED_SAMPLES = 200;

/** Largest part of an answer or prompt that is sent, in characters. */
const MAX_TEXT_LENGTH = 8_192;

/** Samples answers and hands out their ratings. */
export class RatingSampler {
  private readonly unrated = new lruCache.LRUCache<string, SampledAnswer>({
    max: MAX_UNRATED_ANSWERS,
  });
  private queue: ports.RatingSample[] = [];
  private cursor = 0;

  constructor(private readonly options: RatingSamplerOptions) {}

  /** Takes an answer with the given chance, 0 to 1. */
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

  /** Sends what waits and hands out what has come. */
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
