/** `amaranthknot timeline`: merges the events of all instances by causality. */
import * as fs from 'node:fs';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as telemetry from '@amaranthknot/telemetry';
import type * as command from '../command.js';
import * as createCommand from '../operator/create-command.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import * as outcome from '../operator/outcome.js';
import * as waitForInstances from '../operator/wait-for-instances.js';

const HELP = `
  Collects the events that all entry instances still hold, merges them so that
  a cause comes before its effect, and prints one line each.

  Usage
    $ amaranthknot timeline --settings FILE [FILTERS] [--json] [--svg FILE]

  Options
    --settings FILE   settings of any instance
    --request ID      events of one request
    --workspace NAME  of one workspace
    --model NAME      of one model
    --version NAME    of one version
    --upstream ID     of one upstream
    --zone NAME       of one availability zone
    --svg FILE        draw a picture too
    --json            one line of JSON

  Example
    $ amaranthknot timeline --settings examples/settings.toml \\
        --workspace tamaki-newcomers --svg timeline.svg

  Exit codes
    0 printed; 1 some instance did not answer, what the others hold is printed;
    2 wrong command line; 3 the platform is out of reach
`;

const FLAGS = {
  request: {type: 'string'},
  workspace: {type: 'string'},
  model: {type: 'string'},
  version: {type: 'string'},
  upstream: {type: 'string'},
  zone: {type: 'string'},
  svg: {type: 'string'},
} as const;

/** Maximum number of events in one message. */
const BATCH_SIZE = 1_000;

/** Timeout of one message, in milliseconds. */
const MESSAGE_TIMEOUT_MS = 3_000;

/** Collects the events of one instance; undefined if it does not answer. */
const collectEvents = async (
  connection: operatorConnection.OperatorConnection,
  address: string,
): Promise<readonly telemetry.TimelineEvent[] | undefined> => {
  const events: telemetry.TimelineEvent[] = [];
  let afterSequence = -1;
  for (;;) {
    const answer = await protocol.callPeer(
      connection.transport,
      address,
      'collect_events',
      {afterSequence, limit: BATCH_SIZE},
      MESSAGE_TIMEOUT_MS,
    );
    const batch = answer.toMaybe().extract();
    if (!batch) {
      return undefined;
    }
    events.push(...(batch.events as readonly telemetry.TimelineEvent[]));
    if (batch.events.length < BATCH_SIZE) {
      return events;
    }
    afterSequence = batch.lastSequence;
  }
};

const readFilter = (
  flags: Readonly<Record<string, unknown>>,
): telemetry.TimelineFilter =>
  Object.fromEntries(
    telemetry.TIMELINE_FIELDS.filter(
      name => typeof flags[name] === 'string',
    ).map(name => [name, flags[name]]),
  );

const writeSvg = (
  file: string,
  events: readonly telemetry.TimelineEvent[],
): purify.Either<outcome.Failure, void> =>
  purify.Either.encase(() => {
    const picture = telemetry.drawTimeline(events, telemetry.formatEvent);
    fs.writeFileSync(file, picture);
  }).mapLeft(error => outcome.createFailure('unreadable_file', error.message));

/** Creates the command. */
export const createTimeline = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'show the events of all instances',
      help: HELP,
      syntax: {inputs: [], flags: FLAGS},
      act: async ({connection, given, showProgress}) => {
        const listed = await waitForInstances.listEntryInstances(
          connection.instances,
        );
        if (listed.isLeft()) {
          return listed;
        }
        const instances = listed.orDefault([]);
        showProgress(`asking ${instances.length} instances`);
        const rings = await Promise.all(
          instances.map(({address}) => collectEvents(connection, address)),
        );
        const silent = instances
          .filter((_, index) => rings[index] === undefined)
          .map(({id}) => id);
        const events = telemetry.mergeTimelines(
          rings.filter(ring => ring !== undefined),
          readFilter(given.flags),
        );
        const {svg} = given.flags;
        const drawn =
          svg === undefined ? purify.Right(undefined) : writeSvg(svg, events);
        const lines = events.map(telemetry.formatEvent);
        if (silent.length > 0) {
          return purify.Left({
            code: 'not_found' as const,
            lines: [`no answer from ${silent.join(', ')}`, ...lines],
            details: {silent, events},
          });
        }
        return drawn.map(() => ({lines, json: {events}}));
      },
    },
    connect,
  );
