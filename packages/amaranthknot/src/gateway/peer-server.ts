/** Answers the messages that other instances send to a gateway instance. */
import type * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import type * as fleetReports from './fleet-reports.js';

/** Dependencies of the peer server. */
export interface PeerServerOptions {
  readonly relay: fleet.ViewRelay;
  readonly reports: fleetReports.FleetReports;
}

/** Creates the message handlers of one instance. */
export const createPeerServer = (
  options: PeerServerOptions,
): protocol.PeerServer => {
  const {relay, reports} = options;
  return protocol.createPeerServer({
    exchange_reports: report => {
      reports.applyReport(report);
      return reports.createReport(report.from.peers);
    },
    fetch_view: ({kind}) => relay.handleFetch(kind),
    await_views: call => answerFollower(options, call),
  });
};

/**
 * Answers a peer that waits for new views. A peer that is a watcher gets no
 * summary: it receives the state of the fleet in its exchange with watchers.
 */
const answerFollower = async (
  {relay, reports}: PeerServerOptions,
  call: protocol.Params<'await_views'>,
): Promise<protocol.Result<'await_views'>> => {
  const {report} = call;
  if (!report) {
    return relay.awaitViews(call);
  }
  reports.applyFollowerReport(report);
  const answer = await relay.awaitViews(call);
  return report.isWatcher
    ? answer
    : {...answer, summary: reports.createSummary(report)};
};
