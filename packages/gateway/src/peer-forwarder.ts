/**
 * Forwards requests to other instances, for services of which this instance
 * reaches no upstream. A forwarded request is not forwarded again.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as runContext from './run-context.js';

/** Another instance that takes callers and has links to a service. */
export interface ForwardPeer {
  readonly id: string;
  readonly zone: string;
  readonly region: string | undefined;
  /** Where it listens for other instances. */
  readonly address: routing.Address;
  readonly cores: number;
}

/** What a `PeerForwarder` needs. */
export interface PeerForwarderOptions {
  readonly now: () => number;
  readonly random: () => number;
  readonly zone: string;
  readonly region: string;
  /** The instances that reach upstreams of the service. */
  readonly findPeers: (service: string) => readonly ForwardPeer[];
}

/** Where an attempt may go by way of another instance. */
export type ForwardPlacement =
  | {readonly kind: 'placed'; readonly attempt: runContext.PlacedAttempt}
  /** The instances that have links have all been tried. */
  | {readonly kind: 'exhausted'}
  /** No instance has links, or the request has been forwarded already. */
  | {readonly kind: 'none'};

/** Instances that one request is forwarded to at most. */
const MAX_PEERS = 3;

/** Time without requests to an instance after a bad outcome, in ms. */
const PAUSE_MS: Readonly<Record<runContext.AttemptOutcome, number>> = {
  answered: 0,
  cancelled: 0,
  failed: 0,
  // It is overloaded or stops.
  refused: 250,
  unreachable: 1_000,
};

interface PeerState {
  inFlight: number;
  pausedUntilMs: number;
}

/** Forwards requests of one instance. */
export class PeerForwarder {
  private readonly states = new Map<string, PeerState>();

  constructor(private readonly options: PeerForwarderOptions) {}

  /** Number of requests that are forwarded now. */
  get inFlight(): number {
    return [...this.states.values()].reduce(
      (sum, {inFlight}) => sum + inFlight,
      0,
    );
  }

  /** Places an attempt at an instance that reaches upstreams of its service. */
  place(toPlace: runContext.PlacementRequest): ForwardPlacement {
    const {request} = toPlace;
    if (request.forwarded) {
      return {kind: 'none'};
    }
    const peers = this.options
      .findPeers(request.service.name)
      .filter(peer => isAllowedRegion(peer, request));
    if (peers.length === 0) {
      return {kind: 'none'};
    }
    const peer = this.choose(peers, toPlace.excluded);
    return peer
      ? {kind: 'placed', attempt: this.beginAttempt(peer, toPlace)}
      : {kind: 'exhausted'};
  }

  /** Drops what is kept of instances that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, {inFlight}] of this.states) {
      if (!ids.has(id) && inFlight === 0) {
        this.states.delete(id);
      }
    }
  }

  private choose(
    peers: readonly ForwardPeer[],
    excluded: ReadonlySet<string>,
  ): ForwardPeer | undefined {
    const {now, random, zone, region} = this.options;
    const tried = peers.filter(({id}) => excluded.has(id)).length;
    const left = peers.filter(
      ({id}) => !excluded.has(id) && this.stateOf(id).pausedUntilMs <= now(),
    );
    const near = left.filter(peer => peer.region === region);
    const candidates = (near.length > 0 ? near : left).map(peer => ({
      ...peer,
      inFlight: this.stateOf(peer.id).inFlight,
    }));
    return tried >= MAX_PEERS
      ? undefined
      : decisions.chooseForwardPeer(candidates, zone, random);
  }

  private beginAttempt(
    peer: ForwardPeer,
    {request, history}: runContext.PlacementRequest,
  ): runContext.PlacedAttempt {
    const state = this.stateOf(peer.id);
    state.inFlight++;
    let isOpen = true;
    return {
      upstream: describeAsUpstream(peer, request.service.name),
      forward: {
        attempts: findAttempts(request.route, history.runs),
      },
      inputs: {zone: peer.zone, inFlight: state.inFlight},
      isInService: () => true,
      recordHead: () => undefined,
      recordEvent: () => undefined,
      recordBreak: () => Promise.resolve(),
      settle: outcome => {
        if (isOpen) {
          isOpen = false;
          state.inFlight--;
          state.pausedUntilMs = this.options.now() + PAUSE_MS[outcome];
        }
      },
    };
  }

  private stateOf(id: string): PeerState {
    const known = this.states.get(id);
    if (known) {
      return known;
    }
    const created = {inFlight: 0, pausedUntilMs: -Infinity};
    this.states.set(id, created);
    return created;
  }
}

/**
 * Attempts that another instance gets of those that are left. One is kept for
 * the loss of that instance, unless it would lack it for the capable model.
 */
const findAttempts = (
  {maxAttempts, models}: routing.Route,
  runs: number,
): number => {
  const left = Math.max(1, maxAttempts - runs);
  const needed = models.length > 1 ? 2 : 1;
  return Math.max(Math.min(left, needed), left - 1);
};

const isAllowedRegion = (
  {region = ''}: ForwardPeer,
  {route, workspace}: runContext.AcceptedRequest,
): boolean =>
  [route.allowedRegions, workspace?.allowedRegions ?? []].every(
    regions => regions.length === 0 || regions.includes(region),
  );

const describeAsUpstream = (
  {id, zone, address}: ForwardPeer,
  service: string,
): routing.Upstream => ({
  id,
  startedAtMs: 0,
  service,
  address,
  zone,
  version: '',
  slots: 1,
  state: 'ready',
  coldForMs: 0,
});
