/** Answers the messages that other instances send to a gateway instance. */
import type * as decisions from '@amaranthknot/decisions';
import type * as gateway from '@amaranthknot/gateway';
import type * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import type * as fleetReports from './fleet-reports.js';

/** Dependencies of the peer server. */
export interface PeerServerOptions {
  readonly relay: fleet.ViewRelay;
  readonly reports: fleetReports.FleetReports;
  readonly quarantine: decisions.PartQuarantine;
  readonly absences: decisions.UpstreamAbsences;
  readonly rollouts: gateway.RolloutTracker;
  /** Called with an error in the handling of a message. */
  readonly onError: protocol.HandlerErrorListener;
}

/** Creates the message handlers of one instance. */
export const createPeerServer = (
  options: PeerServerOptions,
): protocol.PeerServer => {
  const {relay, reports, quarantine, absences: known} = options;
  return protocol.createPeerServer(
    {
      exchange_reports: report => {
        reports.applyReport(report);
        return reports.createReport(report.from.peers);
      },
      fetch_view: ({kind}) => relay.handleFetch(kind),
      await_views: call => answerFollower(options, call),
      held_parts: ({lift}) => {
        const wasHeld = lift === undefined ? undefined : quarantine.lift(lift);
        return {
          parts: [...quarantine.describeHeld()],
          ...(wasHeld === undefined ? {} : {wasHeld}),
        };
      },
      share_suspect_parts: ({parts}) => {
        quarantine.merge(parts);
        return {};
      },
      share_absences: ({absences}) => {
        known.merge(absences);
        return {};
      },
      share_rollouts: ({rollouts}) => {
        options.rollouts.merge(rollouts, []);
        return {};
      },
    },
    options.onError,
  );
};

/**
 * Answers a peer that waits for new views. A peer that is a watcher gets no
 * summary: it receives the state of the fleet in its exchange with watchers.
 */
const answerFollower = async (
  {relay, reports, quarantine, absences: known}: PeerServerOptions,
  call: protocol.Params<'await_views'>,
): Promise<protocol.Result<'await_views'>> => {
  const {report} = call;
  if (!report) {
    const answer = await relay.awaitViews(call);
    const suspectParts = [...quarantine.report('held')];
    const absences = [...known.report()];
    return {
      ...answer,
      ...(suspectParts.length === 0 ? {} : {suspectParts}),
      ...(absences.length === 0 ? {} : {absences}),
    };
  }
  reports.applyFollowerReport(report);
  const answer = await relay.awaitViews(call);
  return report.isWatcher
    ? answer
    : {...answer, summary: reports.createSummary(report)};
};
