/** Factories of the components that exchange state between instances. */
import * as configuration from '@amaranthknot/configuration';
import * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import * as fleetReports from '../fleet-reports.js';
import * as fleetChangeLogger from '../fleet-change-logger.js';
import type * as gatewayComponents from '../gateway-components.js';
import * as knownFleet from '../known-fleet.js';
import * as logInternalError from '../log-internal-error.js';
import * as peerServer from '../peer-server.js';

/** Tokens of the components that are created here. */
export type FleetComponent =
  | 'transport'
  | 'members'
  | 'knownFleet'
  | 'fleetChangeLogger'
  | 'reports'
  | 'exchange'
  | 'peerServer';

const createMembers = (
  get: gatewayComponents.GatewayResolver,
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
    lostServices: [],
  });
};

const createExchange = (
  get: gatewayComponents.GatewayResolver,
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
      !get('watchRole').isWatcher(),
    findWatchers: () => get('watchRole').findWatchers(),
    createReport: address => get('reports').createReport(address),
    onFailure: (peer, error) => {
      get('fleetChangeLogger').logPeerFailure(peer, error);
    },
    onAnswer: (address, report, askedAtMs) => {
      get('relay').mergeStates(address, report.views, askedAtMs);
      get('reports').applyReport(report);
    },
  });
};

const createKnownFleet = (
  get: gatewayComponents.GatewayResolver,
  startedAtMs: number,
): knownFleet.KnownFleet => {
  const {settings, clock} = get('options');
  const own = get('members').self.peers;
  return new knownFleet.KnownFleet({
    now: () => clock.now(),
    uptimeMs: () => clock.steadyNow() - startedAtMs,
    members: get('members'),
    hasOtherSeeds: () =>
      settings.current.seeds
        .map(configuration.formatAddress)
        .some(address => address !== own),
  });
};

/** Creates the factories by token. */
export const createFleetFactories = (
  options: gatewayComponents.GatewayOptions,
  startedAtMs = options.clock.steadyNow(),
): gatewayComponents.ComponentFactories<FleetComponent> => ({
  transport: () => options.transport ?? protocol.createHttpTransport({}),
  members: createMembers,
  knownFleet: get => createKnownFleet(get, startedAtMs),
  fleetChangeLogger: get =>
    new fleetChangeLogger.FleetChangeLogger({
      now: () => options.clock.now(),
      members: get('members'),
      role: get('watchRole'),
      log: get('log'),
    }),
  reports: get => new fleetReports.FleetReports(get),
  exchange: createExchange,
  peerServer: get =>
    peerServer.createPeerServer({
      relay: get('relay'),
      reports: get('reports'),
      quarantine: get('partQuarantine'),
      absences: get('upstreamAbsences'),
      rollouts: get('rollouts'),
      onError: error => {
        logInternalError.logInternalError(get('log'), 'peer_message', error);
      },
    }),
});
