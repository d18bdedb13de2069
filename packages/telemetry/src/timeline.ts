/** Merges, filters and prints the time lines of several processes. */
import type * as eventRing from './event-ring.js';
import * as hybridClock from './hybrid-clock.js';

/** Selects events; all given fields must match exactly. */
export type TimelineFilter = Pick<
  eventRing.Subject,
  'request' | 'workspace' | 'model' | 'version' | 'upstream' | 'zone'
>;

/** Fields of `TimelineFilter`, in the order in which they are printed. */
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

/** Merges events by timestamp, so that a cause comes before its effect. */
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

/** Formats an event as one line of text. */
export const formatEvent = (event: eventRing.TimelineEvent): string => {
  const time = new Date(event.stamp.wallMs).toISOString().slice(11, 23);
  const name = event.name.padEnd(24);
  return `${time} ${event.instance.padEnd(10)} ${name} ${formatSubject(event)}`;
};
