/** Parses and formats addresses of the form `IP:port`. */
import * as net from 'node:net';
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as settings from './settings.js';

const MAX_PORT = 65_535;
const ADDRESS = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

/** Parses `192.0.2.7:8080` or `[2001:db8::7]:8080`; Nothing for other text. */
export const parseAddress = (text: string): purify.Maybe<settings.Address> => {
  const match = ADDRESS.exec(text);
  const bracketed = match?.[1];
  const host = bracketed ?? match?.[2] ?? '';
  const port = Number(match?.[3] ?? Number.NaN);
  const version = bracketed === undefined ? 4 : 6;
  return net.isIP(host) === version && port <= MAX_PORT
    ? purify.Just({host, port})
    : purify.Nothing;
};

/** Formats an address so that `parseAddress` can read it. */
export const formatAddress = ({host, port}: settings.Address): string =>
  host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

/** Whether a host is the unspecified address, to which nobody can connect. */
export const isUnspecified = ({host}: settings.Address): boolean =>
  host === '0.0.0.0' || /^[0:]+$/.test(host);

/** Schema of a text that `parseAddress` can read. */
export const addressSchema = zod
  .string()
  .refine(
    text => parseAddress(text).isJust(),
    'must be IP:port, as 192.0.2.7:8080 or [2001:db8::7]:8080',
  );
