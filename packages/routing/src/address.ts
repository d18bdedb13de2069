/** Parses and formats network addresses of upstreams and instances. */

/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Parses text such as `192.0.2.7:8080`; undefined for other text. */
export const parseAddress = (text: string): Address | undefined => {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  const host = match?.[1];
  const port = Number(match?.[2]);
  return host !== undefined && port > 0 && port <= MAX_PORT
    ? {host, port}
    : undefined;
};

/** Formats an address so that `parseAddress` parses it. */
export const formatAddress = ({host, port}: Address): string =>
  `${host}:${port}`;
