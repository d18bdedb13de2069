import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as protocol from '@amaranthknot/protocol';

/** Timeout of a message, in milliseconds. */
const TIMEOUT_MS = 100;

/** Sends one message to a server that handles it as given. */
const sendTo = async (
  handle: http.RequestListener,
): Promise<string | undefined> => {
  const server = http.createServer(handle);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const transport = protocol.createHttpTransport({});
  const sent = await transport.send(`127.0.0.1:${port}`, '{}', TIMEOUT_MS);
  transport.close();
  server.closeAllConnections();
  server.close();
  return sent.toMaybe().extract();
};

describe('createHttpTransport', () => {
  it('reads an answer that came in time before the peer counts as silent', async () => {
    // Guards against peers that count as lost because this process was busy,
    // and against what it does to find others meanwhile.
    const answer = await sendTo((_request, response) => {
      response.end('in time');
      process.nextTick(() => {
        fakes.holdLoop(3 * TIMEOUT_MS);
      });
    });
    chai.expect(answer).equal('in time');
  });

  it('gives up on a peer that is silent', async () => {
    chai.expect(await sendTo(() => undefined)).equal(undefined);
  });

  it('gives up on a peer that stops within its answer', async () => {
    const answer = await sendTo((_request, response) => {
      response.writeHead(200, {'content-length': '100'});
      response.write('half');
    });
    chai.expect(answer).equal(undefined);
  });
});
