/** Minimal HTTP/1.1 request parser for fakes; bodies need a Content-Length. */

/** A request as received. */
export interface ParsedRequest {
  readonly method: string;
  readonly target: string;
  /** Values by lower-case name; of repeated headers, the last. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const HEAD_END = '\r\n\r\n';

const parseHead = (head: string): Omit<ParsedRequest, 'body'> => {
  const [first = '', ...lines] = head.split('\r\n');
  const [method = '', target = ''] = first.split(' ');
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return {method, target, headers};
};

/** Splits the bytes of one connection into requests. */
export class RequestParser {
  private buffered = Buffer.alloc(0);

  /** Adds bytes; returns the requests that are now complete. */
  push(chunk: Buffer): readonly ParsedRequest[] {
    this.buffered = Buffer.concat([this.buffered, chunk]);
    const requests: ParsedRequest[] = [];
    for (;;) {
      const request = this.next();
      if (!request) {
        return requests;
      }
      requests.push(request);
    }
  }

  private next(): ParsedRequest | undefined {
    const end = this.buffered.indexOf(HEAD_END);
    if (end === -1) {
      return undefined;
    }
    const head = parseHead(this.buffered.subarray(0, end).toString('latin1'));
    const from = end + HEAD_END.length;
    const to = from + Number(head.headers['content-length'] ?? 0);
    if (this.buffered.length < to) {
      return undefined;
    }
    const body = this.buffered.subarray(from, to);
    this.buffered = this.buffered.subarray(to);
    return {...head, body};
  }
}
