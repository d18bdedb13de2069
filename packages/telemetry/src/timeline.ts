/** Merging, filtering and printing the time lines of all processes. */
import type * as eventRing from './event-ring.js';
import * as hybridClock from './hybrid-clock.js';

/** Which events to show; every given field must match. */
export type TimelineFilter = Pick<
  eventRing.Subject,
  'request' | 'workspace' | 'model' | 'version' | 'upstream' | 'zone'
>;

/** Fields that a time line can be filtered by. */
export const TIMELINE_FIELDS = [
  'request',
  'workspace',
  'model',
  'version',
  'upstream',
  'zone',
] as const;

const matches = (
  event: eventRing.TimelineEvent,
  filter: TimelineFilter,
): boolean =>
  TIMELINE_FIELDS.every(
    field => filter[field] === undefined || filter[field] === event[field],
  );

/** Merges rings by stamp, so that a cause comes before its effect. */
export const mergeTimelines = (
  rings: readonly (readonly eventRing.TimelineEvent[])[],
  filter: TimelineFilter = {},
): readonly eventRing.TimelineEvent[] =>
  rings
    .flat()
    .filter(event => matches(event, filter))
    .sort(
      (a, b) =>
        hybridClock.compareTimestamps(a.stamp, b.stamp) ||
        (a.instance < b.instance ? -1 : 1),
    );

const formatSubject = (event: eventRing.TimelineEvent): string =>
  [...TIMELINE_FIELDS, 'detail' as const]
    .filter(field => event[field] !== undefined)
    .map(field => `${field}=${event[field] ?? ''}`)
    .join(' ');

/** One line of text for an event. */
export const formatEvent = (event: eventRing.TimelineEvent): string => {
  const time = new Date(event.stamp.wallMs).toISOString().slice(11, 23);
  const name = event.name.padEnd(24);
  return `${time} ${event.instance.padEnd(10)} ${name} ${formatSubject(event)}`;
};
