/**
 * Puts one request's story together from the log lines of several instances:
 * what was decided about it, and what each instance that decided believed then.
 */

/** One line of a log. */
export interface LogLine {
  readonly atMs: number;
  readonly instance: string;
  readonly event: string;
  readonly request: string | undefined;
  /** All other fields, as written. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** A belief that an instance held, and since when. */
export interface HeldBelief {
  readonly line: LogLine;
  /** Time from it to the instance's first decision about the request, in ms. */
  readonly ageMs: number;
}

/** One request's story. */
export interface RequestExplanation {
  /** Decisions about the request, in order of time. */
  readonly lines: readonly LogLine[];
  /** What the instances concerned believed at their first decision. */
  readonly beliefs: readonly HeldBelief[];
}

/** Beliefs of which the latest is told, whatever the request met. */
const GENERAL_BELIEFS: ReadonlySet<string> = new Set([
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

/** Beliefs that are told where they concern an upstream that was tried. */
const UPSTREAM_BELIEFS: ReadonlySet<string> = new Set([
  'upstreams_changed',
  'upstream_rested',
  'upstream_limited',
]);

const readText = (value: unknown): string | undefined =>
  typeof value === 'string' ? value : undefined;

/** Reads one line; collectors may have put text before the JSON object. */
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

/** The story of a request; undefined where no line names it. */
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
    findBeliefs(ordered, lines, instance),
  );
  return {lines, beliefs};
};

const findBeliefs = (
  ordered: readonly LogLine[],
  lines: readonly LogLine[],
  instance: string,
): readonly HeldBelief[] => {
  const own = lines.filter(line => line.instance === instance);
  const fromMs = own[0]?.atMs ?? 0;
  const attempted = [...new Set(own.map(({details}) => details['upstream']))];
  const latest = new Map<string, LogLine>();
  for (const line of ordered) {
    if (line.instance !== instance || line.atMs > fromMs) {
      continue;
    }
    if (GENERAL_BELIEFS.has(line.event)) {
      latest.set(line.event, line);
    } else if (UPSTREAM_BELIEFS.has(line.event)) {
      const mentioned = attempted.filter(upstream =>
        mentionsUpstream(line, upstream),
      );
      mentioned.forEach(upstream => {
        const about = `${line.event} ${String(upstream)}`;
        latest.set(about, filterLists(line, upstream));
      });
    }
  }
  return [...latest.values()].map(line => ({line, ageMs: fromMs - line.atMs}));
};

/** Of lists in a line, what concerns an upstream; there may be dozens in one. */
const filterLists = (line: LogLine, upstream: unknown): LogLine => {
  const details = Object.entries(line.details).flatMap(([name, value]) => {
    if (!Array.isArray(value)) {
      return [[name, value] as const];
    }
    return value.includes(upstream) ? [[name, [upstream]] as const] : [];
  });
  return {...line, details: Object.fromEntries(details)};
};

/** Whether a line is about an upstream, alone or among others. */
const mentionsUpstream = ({details}: LogLine, upstream: unknown): boolean =>
  Object.values(details).some(
    value =>
      value === upstream || (Array.isArray(value) && value.includes(upstream)),
  );

const formatDetails = (details: Readonly<Record<string, unknown>>): string =>
  Object.entries(details)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');

/** Writes a story as text: beliefs with their age, then what was decided. */
export const formatExplanation = ({
  lines,
  beliefs,
}: RequestExplanation): string => {
  const startMs = lines[0]?.atMs ?? 0;
  const believed = beliefs.map(
    ({line, ageMs}) =>
      `  ${line.instance} ${line.event} ${ageMs} ms before: ${formatDetails(line.details)}`,
  );
  const decided = lines.map(
    ({atMs, instance, event, details}) =>
      `  +${atMs - startMs} ms ${instance} ${event} ${formatDetails(details)}`,
  );
  return ['believed:', ...believed, 'decided:', ...decided, ''].join('\n');
};
