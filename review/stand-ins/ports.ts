/** Prints free ports of 127.0.0.1, as many as the argument says. */
import * as net from 'node:net';

const open = (): Promise<net.Server> =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });

const main = async (): Promise<void> => {
  const count = Number(process.argv[2]);
  const servers = await Promise.all(Array.from({length: count}, open));
  const ports = servers.map(
    server => (server.address() as net.AddressInfo).port,
  );
  servers.forEach(server => server.close());
  console.log(ports.join(' '));
};

void main();
