/** `amaranthknot held-parts`: lists the parts of prompts that are held. */
import * as protocol from '@amaranthknot/protocol';
import type * as command from '../command.js';
import * as readFlags from '../read-flags.js';

const HELP = `
  Prints the parts of prompts that are kept away from upstreams, as upstreams
  ended under them, as one gateway instance knows them. Lifts the hold of one.

  Usage
    $ amaranthknot held-parts HOST:PORT [--lift PART] [--json]

  Options
    HOST:PORT    where any instance listens for other instances
    --lift PART  let requests with this part through again, at all instances
    --json       one line of JSON

  Example
    $ amaranthknot held-parts 10.1.0.40:8229 --lift 5c1e07a2

  Exit codes
    0 printed; 1 the part to lift is not held; 2 wrong command line; 3 the
    instance is out of reach
`;

/** Longest wait for the instance, in milliseconds. */
const TIMEOUT_MS = 3_000;

const formatPart = ({
  part,
  workspace,
  heldForMs,
  upstreams,
}: protocol.Result<'held_parts'>['parts'][number]): string =>
  `${part}: held for ${Math.round(heldForMs / 1_000)} s, first sent by ` +
  `workspace ${workspace || '(none)'}, ended ${upstreams.join(' ')}\n`;

const run = async (
  args: readonly string[],
  streams: command.CommandStreams,
): Promise<command.ExitCode> => {
  const read = readFlags.readFlags(args, {
    json: {type: 'boolean'},
    lift: {type: 'string'},
  });
  if (read.isLeft()) {
    streams.err(`${read.extract()}\n`);
    return 2;
  }
  const {input, flags} = read.unsafeCoerce();
  const [address] = input;
  if (address === undefined || input.length > 1) {
    streams.err('held-parts needs the address of one instance, HOST:PORT\n');
    return 2;
  }
  const {lift} = flags;
  const transport = protocol.createHttpTransport({});
  const answer = await protocol.callPeer(
    transport.send,
    address,
    'held_parts',
    lift === undefined ? {} : {lift},
    TIMEOUT_MS,
  );
  transport.close();
  return answer.caseOf<command.ExitCode>({
    Left: ({message}) => {
      streams.err(`instance ${address} gave no answer: ${message}\n`);
      return 3;
    },
    Right: found => {
      const {parts, wasHeld} = found;
      streams.out(
        flags.json
          ? `${JSON.stringify(found)}\n`
          : parts.map(formatPart).join(''),
      );
      if (wasHeld === false) {
        streams.err(`part ${lift ?? ''} is not held\n`);
      }
      return wasHeld === false ? 1 : 0;
    },
  });
};

/** The command. */
export const heldParts: command.Command = {
  summary: 'list, or lift, the parts of prompts kept away from upstreams',
  help: HELP,
  run,
};
