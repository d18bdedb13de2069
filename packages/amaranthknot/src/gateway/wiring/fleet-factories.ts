/** Factories of what instances know of and tell each other. */
import * as configuration from '@amaranthknot/configuration';
import * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import * as fleetReport from '../fleet-report.js';
import * as fleetWatch from '../fleet-watch.js';
import type * as gatewayTokens from '../gateway-tokens.js';
import * as peerMessages from '../peer-messages.js';

/** Parts that are made here. */
export type FleetPart =
  | 'transport'
  | 'members'
  | 'fleetWatch'
  | 'reports'
  | 'exchange'
  | 'peerServer';

const createMembers = (
  get: gatewayTokens.ResolveGateway,
): fleet.MemberTable => {
  const {settings, clock} = get('options');
  const {listen, instance, limits} = settings.current;
  return new fleet.MemberTable({
    id: instance.id,
    zone: instance.zone,
    callers: configuration.formatAddress(listen.callers),
    peers: configuration.formatAddress(listen.peers),
    start: Math.floor(clock.wallTime()),
    revision: 0,
    phase: 'starting',
    store: 'reached',
    cores: limits.cores,
  });
};

const createExchange = (
  get: gatewayTokens.ResolveGateway,
): fleet.ReportExchange => {
  const {clock, random, settings} = get('options');
  return new fleet.ReportExchange({
    clock,
    random,
    transport: get('transport').send,
    members: get('members'),
    seeds: () => settings.current.seeds.map(configuration.formatAddress),
    isFollower: () =>
      get('members').hasWatcherList(clock.now()) &&
      !get('watching').isWatcher(),
    findWatchers: () => get('watching').findWatchers(),
    createReport: address => get('reports').create(address),
    onFailure: (peer, error) => {
      get('fleetWatch').noteFailure(peer, error);
    },
    onAnswer: (address, report, askedAtMs) => {
      get('relay').mergeStates(address, report.views, askedAtMs);
      get('reports').take(report);
    },
  });
};

/** Creates the factories. */
export const createFleetFactories = (
  options: gatewayTokens.GatewayOptions,
): gatewayTokens.PartFactories<FleetPart> => ({
  transport: () => options.transport ?? protocol.createHttpTransport({}),
  members: createMembers,
  fleetWatch: get =>
    new fleetWatch.FleetWatch({
      now: () => options.clock.now(),
      members: get('members'),
      watching: get('watching'),
      log: get('log'),
    }),
  reports: get => new fleetReport.FleetReports(get),
  exchange: createExchange,
  peerServer: get =>
    peerMessages.createPeerServer({
      relay: get('relay'),
      reports: get('reports'),
    }),
});
