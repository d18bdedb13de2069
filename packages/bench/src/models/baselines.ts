/** The simplest admission and placement, which benches compare with. */
import * as decisions from '@amaranthknot/decisions';
import type * as entryModel from './entry-model.js';

/** Admits in order of arrival, without queue bound or deadline. */
export const createFifoAdmission = (capacity: number): entryModel.Admission => {
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

/** Chooses an upstream uniformly at random. */
export const createRandomPlacement = (
  ids: readonly string[],
  random: () => number,
): entryModel.Placement => ({
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
