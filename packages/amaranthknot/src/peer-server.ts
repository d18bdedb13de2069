/** Wires the handlers of messages that an entry instance answers to its peers. */
import * as protocol from '@amaranthknot/protocol';
import * as billCopyWiring from './bill-copy-wiring.js';
import type * as instanceComponents from './instance-components.js';

/** Creates the message handlers of one instance. */
export const createPeerServer = (
  get: instanceComponents.InstanceResolver,
): protocol.PeerServer =>
  protocol.createPeerServer({
    ...get('follower').handlers(),
    copy_bills: params => billCopyWiring.storeCopies(get, params),
    request_grant: params => get('warmUpLimiter').answer(params),
    fetch_evidence: ({rollout}) => ({
      incarnation: get('incarnation'),
      ...get('rolloutCounters').read(rollout),
    }),
    fetch_bills: ({owner}) => ({
      bills: [...get('copyStore').listPending(owner)],
    }),
    describe_claim: ({incarnation, owner}) => ({
      state:
        incarnation === get('incarnation')
          ? get('claims').getOwnerStatus(owner)
          : 'no_answer',
    }),
    collect_events: ({afterSequence, limit}) => {
      const events = get('events').read(afterSequence, limit);
      const lastSequence = events.at(-1)?.sequence ?? afterSequence;
      return {events: [...events], lastSequence};
    },
  });
