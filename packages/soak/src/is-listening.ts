/** Tells from the kernel's table whether a process listens at an address. */
import * as fs from 'node:fs';

/** Sockets over IPv4, one a line. */
const TABLE = '/proc/net/tcp';

/** State of a listening socket in the table. */
const LISTENING = '0A';

const formatHex = (value: number, digits: number): string =>
  value.toString(16).toUpperCase().padStart(digits, '0');

/** An IPv4 address as the table has it: bytes in reverse order, then port. */
const formatEntry = (address: string): string => {
  const [ip = '', port = ''] = address.split(':');
  const bytes = ip.split('.').reverse();
  const host = bytes.map(byte => formatHex(Number(byte), 2)).join('');
  return `${host}:${formatHex(Number(port), 4)}`;
};

/** Whether anything listens at exactly `address`, as IP:PORT. */
export const isListening = (address: string): boolean => {
  const entry = formatEntry(address);
  return fs
    .readFileSync(TABLE, 'utf8')
    .split('\n')
    .map(line => line.trim().split(/\s+/))
    .some(([, local, , state]) => local === entry && state === LISTENING);
};
