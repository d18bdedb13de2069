/** Draws a time line as SVG: a row per instance and a mark per event. */
import type * as eventRing from './event-ring.js';

const ROW_HEIGHT = 28;
const LABEL_WIDTH = 120;
const PLOT_WIDTH = 1_000;
const MARGIN = 20;
const MARK_RADIUS = 4;

/** Effect of an event on requests, shown as the colour of its mark. */
type Tone = 'good' | 'bad' | 'neutral';

const COLOURS: Readonly<Record<Tone, string>> = {
  good: '#2e7d32',
  bad: '#c62828',
  neutral: '#546e7a',
};

const GOOD: readonly eventRing.EventName[] = [
  'answer_given',
  'bill_recorded',
  'bills_recovered',
  'configuration_in_force',
  'platform_available',
];

const BAD: readonly eventRing.EventName[] = [
  'answer_discarded',
  'answer_unknown',
  'claim_refused',
  'configuration_unconfirmed',
  'lease_lost',
  'peer_lost',
  'platform_unavailable',
  'request_refused',
  'rollout_stopped',
  'upstream_cold',
  'upstream_backoff',
  'upstream_failed',
];

const toneOf = (name: eventRing.EventName): Tone => {
  if (GOOD.includes(name)) {
    return 'good';
  }
  return BAD.includes(name) ? 'bad' : 'neutral';
};

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

const escape = (text: string): string =>
  text.replaceAll(/[&<>"]/g, character => ENTITIES[character] ?? '');

/**
 * Draws merged events, ordered by time, as SVG.
 *
 * @param format writes an event as one line of text, which is the tooltip of
 *   its mark.
 */
export const drawTimeline = (
  events: readonly eventRing.TimelineEvent[],
  format: (event: eventRing.TimelineEvent) => string,
): string => {
  const instances = [...new Set(events.map(event => event.instance))].sort();
  const start = events[0]?.stamp.wallMs ?? 0;
  const end = events.at(-1)?.stamp.wallMs ?? start;
  const span = Math.max(1, end - start);
  const width = LABEL_WIDTH + PLOT_WIDTH + 2 * MARGIN;
  const height = ROW_HEIGHT * (instances.length + 1) + 2 * MARGIN;
  const rowOf = (index: number) => MARGIN + ROW_HEIGHT * (index + 1);
  const xOf = (wallMs: number) =>
    LABEL_WIDTH + MARGIN + ((wallMs - start) / span) * PLOT_WIDTH;
  const rows = instances.map((instance, index) => {
    const y = rowOf(index);
    return (
      `<text x="${MARGIN}" y="${y + 4}">${escape(instance)}</text>` +
      `<line x1="${xOf(start)}" x2="${xOf(start) + PLOT_WIDTH}" ` +
      `y1="${y}" y2="${y}" stroke="#cfd8dc"/>`
    );
  });
  const marks = events.map(event => {
    const y = rowOf(instances.indexOf(event.instance));
    const x = xOf(event.stamp.wallMs).toFixed(1);
    const colour = COLOURS[toneOf(event.name)];
    return (
      `<circle cx="${x}" cy="${y}" r="${MARK_RADIUS}" fill="${colour}">` +
      `<title>${escape(format(event))}</title></circle>`
    );
  });
  const scale =
    `<text x="${LABEL_WIDTH + MARGIN}" y="${height - MARGIN}">` +
    `${new Date(start).toISOString()}, ${span} ms</text>`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" ` +
      `height="${height}" font-family="sans-serif" font-size="12">`,
    ...rows,
    ...marks,
    scale,
    '</svg>',
    '',
  ].join('\n');
};
