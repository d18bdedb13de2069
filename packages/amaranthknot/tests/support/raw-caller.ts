/**
 * Sends raw bytes on a socket, for requests that HTTP libraries refuse to send.
 */
import * as net from 'node:net';
import * as chai from 'chai';

/** An answer read from a socket up to its end. */
export interface RawReply {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

const parseReply = (text: string): RawReply => {
  const end = text.indexOf('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
  return {status, head: text.slice(0, end), body: text.slice(end + 4)};
};

/** Opens a connection; ignores its errors. */
export const connect = (address: string): net.Socket => {
  const [host = '', port = ''] = address.split(':');
  const socket = net.connect(Number(port), host);
  // A server that refuses a request early closes while the caller still sends.
  socket.on('error', () => undefined);
  return socket;
};

/** Reads one answer up to its content length, or until the server closes. */
export const readToEnd = (socket: net.Socket): Promise<RawReply> =>
  new Promise(resolve => {
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      const reply = parseReply(text);
      const length = /content-length: (\d+)/i.exec(reply.head)?.[1];
      if (length !== undefined && reply.body.length >= Number(length)) {
        resolve(reply);
        socket.destroy();
      }
    });
    socket.once('close', () => resolve(parseReply(text)));
  });

/** Sends bytes on a new connection and reads the answer. */
export const exchange = (address: string, bytes: string): Promise<RawReply> => {
  const socket = connect(address);
  const reply = readToEnd(socket);
  socket.write(bytes, 'latin1');
  return reply;
};

const RAN = ['not_run', 'unknown', 'ran'];

/**
 * Checks that the body of an error has the documented fields; returns the
 * error.
 */
export const checkError = (body: string): {code: string; ran: string} => {
  const {error} = JSON.parse(body) as {error: Record<string, unknown>};
  chai.assert.isString(error['code']);
  chai.assert.include(RAN, error['ran']);
  chai.assert.isString(error['request_id']);
  chai.assert.notStrictEqual(error['request_id'], '');
  chai.assert.isString(error['message']);
  return error as {code: string; ran: string};
};
