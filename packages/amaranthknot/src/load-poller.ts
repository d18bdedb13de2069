/** Polls the load reports of the engines that an entry instance may use. */
import * as http from 'node:http';
import * as ports from '@amaranthknot/ports';
import * as wreck from '@hapi/wreck';
import * as zod from 'zod';
import type * as entry from '@amaranthknot/entry';

/**
 * Polling interval, in milliseconds. With a dozen upstreams and reports of about
 * 150 bytes, the traffic is below 2 KB/s.
 */
export const REPORT_INTERVAL_MS = 1_000;

/** Largest report that is read, in bytes. */
const MAX_REPORT_BYTES = 16 * 1024;

const REPORT = zod.object({
  in_flight: zod.number(),
  slots: zod.number(),
  /** Absent, as the next two, if an engine does not report its warm-up. */
  cold_slots: zod.number().optional(),
  warm_ms: zod.number().optional(),
  age_ms: zod.number().optional(),
});

/**
 * Reads the report of the engine at `address` (`host:port`); undefined if there
 * is none. It never rejects.
 */
export type LoadReader = (
  address: string,
) => Promise<entry.LoadReport | undefined>;

const toLoadReport = (report: zod.infer<typeof REPORT>): entry.LoadReport => {
  const {in_flight: inFlight, slots} = report;
  const {cold_slots: coldSlots, warm_ms: warmMs, age_ms: ageMs} = report;
  const isComplete =
    coldSlots !== undefined && warmMs !== undefined && ageMs !== undefined;
  return isComplete
    ? {inFlight, slots, warmUp: {coldSlots, warmMs, ageMs}}
    : {inFlight, slots};
};

/** Creates a reader over HTTP that reuses its connections. */
export const createLoadReader = (timeoutMs: number): LoadReader => {
  const agent = new http.Agent({keepAlive: true});
  return async address => {
    try {
      const sending = wreck.default.request('GET', `http://${address}/load`, {
        agent,
        timeout: timeoutMs,
      });
      ports.boundAnswer(sending.req);
      const body: unknown = await wreck.default.read(await sending, {
        json: true,
        timeout: timeoutMs,
        maxBytes: MAX_REPORT_BYTES,
      });
      const report = REPORT.parse(body);
      return toLoadReport(report);
    } catch {
      // The last report stays in use, and placement discounts it by its age.
      return undefined;
    }
  };
};

/** Reads the reports of all watched engines once, and applies them. */
export const pollLoad = async (
  directory: entry.UpstreamDirectory,
  warmUp: entry.WarmUpLimiter,
  read: LoadReader,
): Promise<void> => {
  const watched = directory.watched();
  await Promise.all(
    watched.map(async ({id, address}) => {
      const report = await read(address);
      if (report) {
        directory.applyReport(id, report);
        warmUp.applyReport(id, report);
      }
    }),
  );
};
