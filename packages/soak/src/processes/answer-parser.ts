/**
 * Reads the answers of one connection as a caller does, so that a soak tells a
 * whole answer from one that was broken off.
 */

/** One answer, as far as it was read. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';

const parseHead = (head: string): Omit<Answer, 'body'> => {
  const [first = '', ...lines] = head.split(LINE_END);
  const fields = lines.map(line => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  });
  return {
    status: Number(first.split(' ')[1]),
    headers: Object.fromEntries(fields) as Readonly<Record<string, string>>,
  };
};

/** The whole of a chunked body; undefined if more must come. */
const joinChunks = (text: string): string | undefined => {
  let body = '';
  let from = 0;
  for (;;) {
    const lineEnd = text.indexOf(LINE_END, from);
    const length = parseInt(text.slice(from, lineEnd), 16);
    const end = lineEnd + LINE_END.length + length + LINE_END.length;
    if (lineEnd === -1 || text.length < end) {
      return undefined;
    }
    if (length === 0) {
      return body;
    }
    body += text.slice(lineEnd + LINE_END.length, end - LINE_END.length);
    from = end;
  }
};

/** Parses one answer in the bytes of a connection. */
export class AnswerParser {
  private text = '';

  /** Adds bytes; returns the answer once it is whole. */
  push(chunk: Buffer): Answer | undefined {
    this.text += chunk.toString('latin1');
    return this.find(false);
  }

  /** The connection has ended in order; returns the answer if it is whole. */
  end(): Answer | undefined {
    return this.find(true);
  }

  private find(hasEnded: boolean): Answer | undefined {
    const headEnd = this.text.indexOf(HEAD_END);
    if (headEnd === -1) {
      return undefined;
    }
    const head = parseHead(this.text.slice(0, headEnd));
    const rest = this.text.slice(headEnd + HEAD_END.length);
    if (head.headers['transfer-encoding'] === 'chunked') {
      const body = joinChunks(rest);
      return body === undefined ? undefined : {...head, body};
    }
    const length = head.headers['content-length'];
    if (length === undefined) {
      return hasEnded ? {...head, body: rest} : undefined;
    }
    return rest.length < Number(length) ? undefined : {...head, body: rest};
  }
}
