/**
 * Takes one availability zone of three, and of four, out of service for a minute
 * and for ten. Reports lost requests, latency of door checks, and the load on
 * the zone's upstreams when it returns.
 */
import type * as figures from '../figure.js';
import * as zoneService from '../models/zone-service.js';
import * as seededRandom from '@amaranthknot/fakes';

const MINUTE_MS = 60_000;

const reportRun = (
  zones: number,
  minutes: number,
  seed: number,
): readonly figures.Figure[] => {
  const scenario = {zones, absenceMs: minutes * MINUTE_MS};
  const random = seededRandom.createRandom(seed);
  const ramped = zoneService.runZone({...scenario, isRamped: true}, random);
  const bare = zoneService.runZone({...scenario, isRamped: false}, random);
  const name = `${zones}_zones_${minutes}_min`;
  return [
    {
      figure: `accepted_lost_${name}`,
      value: ramped.accepted - ramped.finished,
      unit: `of ${ramped.accepted}`,
      target: 0,
      direction: 'at_most',
    },
    {
      figure: `door_p99_out_${name}`,
      value: ramped.outP99 / ramped.steadyP99,
      unit: 'ratio',
      target: 2,
      direction: 'at_most',
      baseline: bare.outP99 / bare.steadyP99,
    },
    {
      figure: `door_p99_return_${name}`,
      value: ramped.returnP99 / ramped.steadyP99,
      unit: 'ratio',
      target: 2,
      direction: 'at_most',
      baseline: bare.returnP99 / bare.steadyP99,
    },
    {
      figure: `last_new_work_${name}`,
      value: ramped.lastNewWorkMs,
      unit: 'ms',
      target: 3_000,
      direction: 'at_most',
    },
    {
      figure: `work_to_bound_return_${name}`,
      value: ramped.maxLoadRatio,
      unit: 'ratio',
      target: 1,
      direction: 'at_most',
      baseline: bare.maxLoadRatio,
    },
    {
      figure: `full_share_after_${name}`,
      value: ramped.restoredAfterMs,
      unit: 'ms',
      baseline: bare.restoredAfterMs,
    },
  ];
};

/** Compares zones that are ramped up on return with zones that are not. */
export const bench: figures.Bench = {
  summary: 'service while a zone leaves and returns',
  run(seed) {
    return Promise.resolve(
      [3, 4].flatMap(zones =>
        [1, 10].flatMap(minutes => reportRun(zones, minutes, seed)),
      ),
    );
  },
};
