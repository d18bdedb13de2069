/** The command of one instance of a soak whose settings are its own. */
import * as deployedArtefact from './artefact/deployed-artefact.js';
import type * as documents from './soak-documents.js';

const LOCALHOST = '127.0.0.1';

/** Creates the command of the deploy file, with `settings` for its template. */
export const createSoakCommand = (
  id: string,
  listen: Omit<documents.InstanceAddresses, 'source'>,
  settings: string,
): deployedArtefact.ProcessCommand => {
  const portOf = (address: string) => Number(address.split(':')[1]);
  const {callers, readiness, directory, peers} = listen;
  const ports = [
    portOf(callers),
    portOf(readiness),
    portOf(directory),
    portOf(peers),
  ] as const;
  const place = {id, ip: LOCALHOST, zone: 'zone-a', ports};
  const deployment = {zones: ['zone-a'], store: '', seeds: []};
  return {
    ...deployedArtefact.createProcessCommand(place, deployment),
    settings,
  };
};
