/** Callers that a library would not let be: raw bytes on a socket. */
import * as net from 'node:net';
import * as chai from 'chai';

/** An answer read from a socket until its end. */
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

/** Opens a connection. */
export const connect = (address: string): net.Socket => {
  const [host = '', port = ''] = address.split(':');
  const socket = net.connect(Number(port), host);
  // A server that refuses early closes while the caller still sends.
  socket.on('error', () => undefined);
  return socket;
};

/** Reads one answer, by its length or until the server closes. */
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

/** Sends bytes and reads the answer. */
export const exchange = (address: string, bytes: string): Promise<RawReply> => {
  const socket = connect(address);
  const reply = readToEnd(socket);
  socket.write(bytes, 'latin1');
  return reply;
};

const RAN = ['not_run', 'unknown', 'ran'];

/** Checks that an error's body is typed as the documents say. */
export const checkError = (body: string): {code: string; ran: string} => {
  const {error} = JSON.parse(body) as {error: Record<string, unknown>};
  chai.assert.isString(error['code']);
  chai.assert.include(RAN, error['ran']);
  chai.assert.isString(error['request_id']);
  chai.assert.notStrictEqual(error['request_id'], '');
  chai.assert.isString(error['message']);
  return error as {code: string; ran: string};
};
