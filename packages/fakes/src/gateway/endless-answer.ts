/** Bytes without end that are no answer, as a faulty server sends them. */
import type * as net from 'node:net';

/** Begin of an answer, and what follows until the connection is closed. */
export interface EndlessForm {
  readonly name: string;
  readonly begin: string;
  readonly piece: string;
}

const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Ways in which an answer may have no end. */
export const ENDLESS_FORMS: readonly EndlessForm[] = [
  {
    name: 'interim heads',
    begin: '',
    piece: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
  },
  {
    name: 'interim heads of 100',
    begin: '',
    piece: 'HTTP/1.1 100 Continue\r\n\r\n',
  },
  {name: 'header lines', begin: 'HTTP/1.1 200 OK\r\n', piece: 'X-More: 1\r\n'},
  {name: 'one header line', begin: 'HTTP/1.1 200 OK\r\nX-Long: ', piece: 'a'},
  {name: 'bytes that are no head', begin: '', piece: '\u0000junk'},
  {name: 'digits of the size of a chunk', begin: CHUNKED_HEAD, piece: '0'},
  {
    name: 'an extension of a chunk',
    begin: `${CHUNKED_HEAD}1;a=`,
    piece: 'b',
  },
  {name: 'trailers', begin: `${CHUNKED_HEAD}0\r\n`, piece: 'X-More: 1\r\n'},
];

/** Bytes that are written at a time. */
const WRITE_BYTES = 16 * 1024;

/**
 * Writes until the connection is closed, as fast as the receiver reads.
 *
 * @param onWritten called with the bytes of each write.
 */
export const sendWithoutEnd = (
  socket: net.Socket,
  {begin, piece}: EndlessForm,
  onWritten: (bytes: number) => void = () => undefined,
): void => {
  const text = piece.repeat(Math.ceil(WRITE_BYTES / piece.length));
  const bytes = Buffer.from(text, 'latin1');
  const send = (): void => {
    if (!socket.destroyed) {
      onWritten(bytes.length);
      socket.write(bytes, send);
    }
  };
  socket.write(begin, 'latin1', send);
};
