import { connect, createServer } from 'node:net';

/** Creates a TCP proxy that counts the bytes in both directions. */
export default async function createByteCounter(listenAddress, targetAddress) {
  const [host, port] = targetAddress.split(':');
  const [listenHost, listenPort] = listenAddress.split(':');
  const sockets = new Set();
  let bytes = 0;

  const relay = (source, target) => {
    sockets.add(source);
    source.on('data', (chunk) => {
      bytes += chunk.length;
      target.write(chunk);
    });
    source.on('close', () => {
      sockets.delete(source);
      target.destroy();
    });
    source.on('error', () => target.destroy());
  };

  const server = createServer((socket) => {
    const upstream = connect(Number(port), host);
    relay(socket, upstream);
    relay(upstream, socket);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(listenPort), listenHost, resolve);
  });
  return {
    readBytes: () => bytes,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
