/** The simplest ways to decide, to which the benches compare. */
import * as decisions from '@amaranthknot/decisions';
import type * as entryModel from './entry-model.js';

/** First come, first served, without bound or deadline. */
export const createFifoGate = (capacity: number): entryModel.Gate => {
  const waiting: decisions.AdmissionRequest[] = [];
  const running = new Set<string>();
  let first = 0;
  const admitNext = (): readonly decisions.AdmissionRequest[] => {
    const next = running.size < capacity ? waiting[first] : undefined;
    if (!next) {
      return [];
    }
    first++;
    running.add(next.id);
    return [next];
  };
  return {
    get queued() {
      return waiting.length - first;
    },
    offer: request => {
      if (running.size < capacity) {
        running.add(request.id);
        return {kind: 'admitted'};
      }
      waiting.push(request);
      return {kind: 'queued', estimatedWaitMs: 0};
    },
    release: id => {
      running.delete(id);
      return admitNext();
    },
    cancel: id => {
      running.delete(id);
      return admitNext();
    },
    expire: () => [],
    nextExpiryMs: () => undefined,
  };
};

/** Any upstream, with equal chance. */
export const createRandomChooser = (
  ids: readonly string[],
  random: () => number,
): entryModel.Chooser => ({
  choose: () => ({
    kind: 'placed',
    upstreamId: ids[Math.floor(random() * ids.length)] ?? '',
    zone: '',
    reason: 'sampled',
  }),
  start: () => undefined,
  finish: () => undefined,
  report: () => undefined,
});
