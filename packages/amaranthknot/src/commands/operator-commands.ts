/** The operator commands by name. */
import type * as command from '../command.js';
import * as apply from './apply.js';
import * as check from './check.js';
import * as diff from './diff.js';
import * as entryInstances from './entry-instances.js';
import * as promote from './promote.js';
import * as rollout from './rollout.js';
import * as status from './status.js';
import * as timeline from './timeline.js';
import * as zone from './zone.js';
import * as operatorConnection from '../operator/operator-connection.js';

/** Creates the commands, which connect with `connect`. */
export const createOperatorCommands = (
  connect: operatorConnection.Connect,
): Readonly<Record<string, command.Command>> => ({
  apply: apply.createApply(connect),
  check: check.check,
  diff: diff.createDiff(connect),
  'entry-instances': entryInstances.createEntryInstances(connect),
  promote: promote.createPromote(connect),
  rollout: rollout.createRollout(connect),
  status: status.createStatus(connect),
  timeline: timeline.createTimeline(connect),
  zone: zone.createZone(connect),
});

/** The commands, which connect over HTTP. */
export const operatorCommands = createOperatorCommands(
  operatorConnection.connect,
);
