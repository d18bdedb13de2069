/** Answers of an entry instance about addresses and its own state. */
import type * as entry from '@amaranthknot/entry';
import * as membership from '@amaranthknot/membership';
import type * as instanceComponents from './instance-components.js';

/** Zones that are out in the active configuration. */
export const listExcludedZones = (
  get: instanceComponents.InstanceResolver,
): ReadonlySet<string> => {
  const zones = get('follower').activeConfiguration()?.document.zones ?? [];
  return new Set(
    zones.filter(zone => zone.state === 'out').map(zone => zone.name),
  );
};

/**
 * Addresses that are offered to callers in `zone`, in order of preference.
 * Leaves out zones that are out, unless no other zone is left.
 */
export const listAddresses = (
  get: instanceComponents.InstanceResolver,
  zone?: string,
): readonly entry.EntryAddress[] => {
  const out = listExcludedZones(get);
  const peers = get('peers');
  const all = [peers.self(), ...peers.all()];
  const included = all.filter(peer => !out.has(peer.zone));
  const offered = included.length > 0 ? included : all;
  const {addresses} = membership.orderAddresses(zone, offered, Math.random);
  return addresses.map(address => ({
    address,
    zone: all.find(peer => peer.address === address)?.zone ?? '',
  }));
};

/** State of this instance as operators read it, in JSON. */
export const describeState = (
  get: instanceComponents.InstanceResolver,
): object => {
  const follower = get('follower');
  const peers = get('peers');
  return {
    instance: peers.self(),
    environment: follower.activeConfiguration()?.environment,
    generation: follower.activeGeneration(),
    digest: follower.activeConfiguration()?.digest,
    standing: follower.standing(),
    confirmed_age_ms: follower.confirmedAgeMs(),
    peers: peers.all(),
    in_flight: get('admission').inFlight,
    pending_bills: get('bills').pending().length,
    copies_held: get('copyStore').size,
    upstreams: get('directory')
      .all()
      .map(({id, zone, state, serves}) => ({
        id,
        zone,
        state,
        serves,
        in_flight: get('placement').find(id)?.inFlight ?? 0,
      })),
  };
};
