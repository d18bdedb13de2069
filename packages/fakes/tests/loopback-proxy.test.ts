import * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';

/** Bytes that are sent before and after the end of a delay. */
const BEFORE = 'sent in the delay, ';
const AFTER = 'sent after it';

const listen = (server: net.Server): Promise<string> =>
  new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as net.AddressInfo;
      resolve(`127.0.0.1:${port}`);
    });
  });

describe('LoopbackProxy', () => {
  it('keeps the order of bytes when a delay ends', async () => {
    // Guards against an end of a stream that overtakes its last events, which
    // no connection does.
    const server = net.createServer();
    const accepted = new Promise<net.Socket>(resolve => {
      server.once('connection', resolve);
    });
    const proxy = new fakes.LoopbackProxy(await listen(server));
    await proxy.start();
    const [host = '', port = ''] = proxy.address.split(':');
    const client = net.connect(Number(port), host);
    const target = await accepted;
    proxy.mode = 'delayed';
    let received = '';
    const isComplete = new Promise<void>(resolve => {
      client.on('data', chunk => {
        received += chunk.toString();
        if (received.length >= BEFORE.length + AFTER.length) {
          resolve();
        }
      });
    });
    target.write(BEFORE);
    await new Promise(resolve => setTimeout(resolve, 30));
    proxy.mode = 'open';
    target.write(AFTER);
    await isComplete;
    chai.expect(received).equal(BEFORE + AFTER);
    client.destroy();
    target.destroy();
    await proxy.stop();
    await new Promise(resolve => server.close(resolve));
  });

  it('passes a close on after the bytes that it holds back', async () => {
    // Guards against an answer without a length that lacks its last events.
    const server = net.createServer(socket => {
      socket.end(BEFORE);
    });
    const proxy = new fakes.LoopbackProxy(await listen(server));
    await proxy.start();
    proxy.mode = 'delayed';
    const [host = '', port = ''] = proxy.address.split(':');
    const client = net.connect(Number(port), host);
    let received = '';
    client.on('data', chunk => {
      received += chunk.toString();
    });
    await new Promise(resolve => client.once('close', resolve));
    chai.expect(received).equal(BEFORE);
    await proxy.stop();
    await new Promise(resolve => server.close(resolve));
  });
});
