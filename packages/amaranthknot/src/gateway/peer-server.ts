/** Answers what other instances ask and tell. */
import type * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import type * as fleetReports from './fleet-reports.js';

/** Parts that the answers come from. */
export interface PeerServerOptions {
  readonly relay: fleet.ViewRelay;
  readonly reports: fleetReports.FleetReports;
}

/** Creates the server of one instance's peers. */
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

/** A watcher that follows hears of the fleet from its peers. */
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
