/**
 * Explains one request from the log lines of several instances: what was
 * decided about it, and what each deciding instance knew at that time.
 */

/** One parsed line of the decision log. */
export interface LogLine {
  readonly atMs: number;
  readonly instance: string;
  readonly event: string;
  readonly request: string | undefined;
  /** All other fields, as written. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** An earlier event that tells what an instance knew when it decided. */
export interface PriorEvent {
  readonly line: LogLine;
  /** Time from the event to the instance's first decision, in ms. */
  readonly ageMs: number;
}

/** What is known of one request. */
export interface RequestExplanation {
  /** Decisions about the request, ordered by time. */
  readonly lines: readonly LogLine[];
  /** What each deciding instance knew at its first decision. */
  readonly beliefs: readonly PriorEvent[];
}

/** Events whose latest line before the decision is always shown. */
const GENERAL_EVENTS: ReadonlySet<string> = new Set([
  'configuration_in_force',
  'zones_out',
  'store_lost',
  'store_regained',
  'store_asked',
  'watch_source_changed',
  'lapse_suspected',
  'rollout_judged',
  'instance_serving',
  'instance_stopping',
]);

/** Events that are shown if they concern an upstream that was attempted. */
const UPSTREAM_EVENTS: ReadonlySet<string> = new Set([
  'upstreams_changed',
  'upstream_rested',
  'upstream_limited',
  'upstream_backoff',
  'upstream_leaving',
  'upstream_ended',
]);

/** Events that are shown if they concern a part of the request's prompt. */
const PART_EVENTS: ReadonlySet<string> = new Set([
  'prompt_part_suspected',
  'prompt_part_held',
  'prompt_part_released',
]);

const readText = (value: unknown): string | undefined =>
  typeof value === 'string' ? value : undefined;

/**
 * Parses one line; undefined if it is not a line of the log. Log collectors may
 * have put text before the JSON object.
 */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  let fields: Readonly<Record<string, unknown>>;
  try {
    fields = JSON.parse(text.slice(start)) as typeof fields;
  } catch {
    return undefined;
  }
  const {
    instance,
    message,
    request,
    timestamp,
    level: _level,
    ...rest
  } = fields;
  const atMs = Date.parse(readText(timestamp) ?? '');
  const event = readText(message);
  const from = readText(instance);
  return event === undefined || from === undefined || Number.isNaN(atMs)
    ? undefined
    : {atMs, instance: from, event, request: readText(request), details: rest};
};

/** Explains a request; undefined if no line names it. */
export const explainRequest = (
  all: readonly LogLine[],
  request: string,
): RequestExplanation | undefined => {
  const ordered = [...all].sort((a, b) => a.atMs - b.atMs);
  const lines = ordered.filter(line => line.request === request);
  if (lines.length === 0) {
    return undefined;
  }
  const instances = [...new Set(lines.map(({instance}) => instance))];
  const beliefs = instances.flatMap(instance =>
    findPriorEvents(ordered, lines, instance),
  );
  return {lines, beliefs};
};

const findPriorEvents = (
  ordered: readonly LogLine[],
  lines: readonly LogLine[],
  instance: string,
): readonly PriorEvent[] => {
  const own = lines.filter(line => line.instance === instance);
  const fromMs = own[0]?.atMs ?? 0;
  const attempted = [...new Set(own.map(({details}) => details['upstream']))];
  const parts = [...new Set(own.flatMap(({details}) => readParts(details)))];
  const latest = new Map<string, LogLine>();
  for (const line of ordered) {
    if (line.instance !== instance || line.atMs > fromMs) {
      continue;
    }
    if (GENERAL_EVENTS.has(line.event)) {
      latest.set(line.event, line);
    } else if (UPSTREAM_EVENTS.has(line.event)) {
      const mentioned = attempted.filter(upstream =>
        mentionsUpstream(line, upstream),
      );
      mentioned.forEach(upstream => {
        const about = `${line.event} ${String(upstream)}`;
        latest.set(about, filterLists(line, upstream));
      });
    } else if (PART_EVENTS.has(line.event)) {
      const part = readText(line.details['part']) ?? '';
      // Of what was believed of a part, the latest belief counts.
      if (parts.includes(part)) {
        latest.set(`part ${part}`, line);
      }
    }
  }
  return [...latest.values()].map(line => ({line, ageMs: fromMs - line.atMs}));
};

/** Ids of parts of its prompt that a line about a request names. */
const readParts = ({
  parts,
  heldParts,
}: Readonly<Record<string, unknown>>): readonly string[] =>
  [parts, heldParts].flatMap(list =>
    Array.isArray(list) ? list.filter(id => typeof id === 'string') : [],
  );

/** Reduces the lists of a line, which can hold dozens of ids, to an upstream. */
const filterLists = (line: LogLine, upstream: unknown): LogLine => {
  if (line.details['upstream'] === upstream) {
    return line;
  }
  const details = Object.entries(line.details).flatMap(([name, value]) => {
    if (!Array.isArray(value)) {
      return [[name, value] as const];
    }
    return value.includes(upstream) ? [[name, [upstream]] as const] : [];
  });
  return {...line, details: Object.fromEntries(details)};
};

/** Whether a field of a line is the upstream's id or a list that has it. */
const mentionsUpstream = ({details}: LogLine, upstream: unknown): boolean =>
  Object.values(details).some(
    value =>
      value === upstream || (Array.isArray(value) && value.includes(upstream)),
  );

const formatDetails = (details: Readonly<Record<string, unknown>>): string =>
  Object.entries(details)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');

/** Formats an explanation: what was known and how old it was, then decisions. */
export const formatExplanation = ({
  lines,
  beliefs,
}: RequestExplanation): string => {
  const startMs = lines[0]?.atMs ?? 0;
  const knownLines = beliefs.map(
    ({line, ageMs}) =>
      `  ${line.instance} ${line.event} ${ageMs} ms before: ${formatDetails(line.details)}`,
  );
  const decisionLines = lines.map(
    ({atMs, instance, event, details}) =>
      `  +${atMs - startMs} ms ${instance} ${event} ${formatDetails(details)}`,
  );
  return ['believed:', ...knownLines, 'decided:', ...decisionLines, ''].join(
    '\n',
  );
};
