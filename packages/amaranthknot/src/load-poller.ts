/** Reads load reports of the engines that this instance watches. */
import * as http from 'node:http';
import * as wreck from '@hapi/wreck';
import * as zod from 'zod';
import type * as entry from '@amaranthknot/entry';

/**
 * Time between reports, in milliseconds. A dozen upstreams of some 150 bytes
 * each keep this under 2 KB/s.
 */
export const REPORT_INTERVAL_MS = 1_000;

const REPORT = zod.object({in_flight: zod.number(), slots: zod.number()});

/** Reads one report; undefined when there is none. */
export type LoadReader = (
  address: string,
) => Promise<{readonly inFlight: number; readonly slots: number} | undefined>;

/** Creates a reader over kept connections. */
export const createLoadReader = (timeoutMs: number): LoadReader => {
  const agent = new http.Agent({keepAlive: true});
  return async address => {
    try {
      const response = await wreck.default.request(
        'GET',
        `http://${address}/load`,
        {agent, timeout: timeoutMs},
      );
      const body: unknown = await wreck.default.read(response, {json: true});
      const report = REPORT.parse(body);
      return {inFlight: report.in_flight, slots: report.slots};
    } catch {
      // A missing report leaves the last one, which placement ages.
      return undefined;
    }
  };
};

/** Asks every watched engine once. */
export const pollLoad = async (
  directory: entry.UpstreamDirectory,
  read: LoadReader,
): Promise<void> => {
  const watched = directory.watched();
  await Promise.all(
    watched.map(async ({id, address}) => {
      const report = await read(address);
      if (report) {
        directory.applyReport(id, report);
      }
    }),
  );
};
