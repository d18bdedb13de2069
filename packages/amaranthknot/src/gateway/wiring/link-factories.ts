/**
 * Factories of the components that watch this instance's links to upstreams and
 * forward requests to other instances.
 */
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as routing from '@amaranthknot/routing';
import type * as gatewayComponents from '../gateway-components.js';

/** Tokens of the components that are created here. */
export type LinkComponent =
  | 'upstreamLinks'
  | 'linkMonitor'
  | 'requestHealth'
  | 'upstreamProbe'
  | 'peerForwarder'
  | 'forwardAdmission'
  | 'peerPool';

/** Maximum number of ids in one log line. */
const MAX_IDS = 20;

/** Tells the other instances which services this one has no links to. */
const reportLinks = (get: gatewayComponents.GatewayResolver): void => {
  get('members').setLostServices(get('upstreamLinks').lostServices);
};

/** The instances that take callers and have links to a service. */
const findForwardPeers = (
  get: gatewayComponents.GatewayResolver,
  service: string,
): readonly gateway.ForwardPeer[] => {
  const {settings, clock} = get('options');
  const members = get('members');
  return members.serving(clock.now()).flatMap(member => {
    const {id, zone, cores, lostServices} = member;
    const address = routing.parseAddress(member.peers);
    // Releases that can't take forwarded requests say nothing of their links.
    const hasLinks = lostServices?.includes(service) === false;
    return id === members.self.id || !hasLinks || !address
      ? []
      : [{id, zone, cores, address, region: settings.current.zones.get(zone)}];
  });
};

const createPeerForwarder = (
  get: gatewayComponents.GatewayResolver,
): gateway.PeerForwarder => {
  const {settings, clock, random} = get('options');
  const {zone, region} = settings.current.instance;
  return new gateway.PeerForwarder({
    now: () => clock.now(),
    random,
    zone,
    region,
    findPeers: service => findForwardPeers(get, service),
  });
};

const createUpstreamLinks = (
  get: gatewayComponents.GatewayResolver,
): decisions.UpstreamLinks =>
  new decisions.UpstreamLinks({
    now: () => get('options').clock.now(),
    onLost: (service, failed) => {
      reportLinks(get);
      get('linkMonitor').notifyLost(service);
      get('log').warn('upstream_links_lost', {
        service,
        failed: failed.slice(0, MAX_IDS),
        upstreams: get('availability').findInService(service).length,
        upstreamsAgeMs: Math.round(get('state').upstreamsAgeMs() ?? -1),
      });
    },
    onRegained: (service, awayMs) => {
      reportLinks(get);
      get('log').info('upstream_links_regained', {
        service,
        awayMs: Math.round(awayMs),
      });
    },
  });

const createLinkMonitor = (
  get: gatewayComponents.GatewayResolver,
): gateway.LinkMonitor =>
  new gateway.LinkMonitor({
    links: get('upstreamLinks'),
    check: gateway.createCheckLink({
      requestHealth: get('requestHealth'),
      onColdFor: (upstream, coldForMs) => {
        const statement = {
          source: 'health_check',
          coldForMs,
          ageMs: 0,
        } as const;
        get('coldStarts').record(upstream, statement);
      },
    }),
    onSilence: (upstream, forMs) => {
      get('availability').recordSilence(upstream, forMs);
    },
    findUpstreams: service =>
      get('availability')
        .findInService(service)
        .map(({upstream}) => upstream),
    findService: name => get('state').activeTable()?.table.services.get(name),
    random: get('options').random,
  });

/** A probe that also tells the monitor of upstreams that don't answer. */
const createMonitoredProbe = (
  get: gatewayComponents.GatewayResolver,
): gateway.ProbeUpstream => {
  const {clock, settings} = get('options');
  const probe = gateway.createProbe(clock, settings.current.sourceAddress);
  return async upstream => {
    const isReachable = await probe(upstream);
    if (!isReachable) {
      get('linkMonitor').record(upstream, 'failed');
      get('availability').recordUnanswered(upstream, 'failed', 0, 0);
    }
    return isReachable;
  };
};

/** Creates the factories by token. */
export const createLinkFactories =
  (): gatewayComponents.ComponentFactories<LinkComponent> => ({
    upstreamLinks: createUpstreamLinks,
    linkMonitor: createLinkMonitor,
    requestHealth: get =>
      gateway.createRequestHealth(
        platform.HEADER_NAMES,
        get('options').settings.current.sourceAddress,
      ),
    upstreamProbe: createMonitoredProbe,
    peerForwarder: createPeerForwarder,
    forwardAdmission: () => new decisions.ForwardAdmission(),
    peerPool: () => new gateway.ConnectionPool(),
  });
