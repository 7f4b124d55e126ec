import { connect, createServer } from 'node:net';

/** Makes a forwarder in front of an address that counts the bytes both ways. */
export default async function createByteCounter(from, to) {
  const [host, port] = to.split(':');
  const [ownHost, ownPort] = from.split(':');
  const sockets = new Set();
  let bytes = 0;

  const pass = (source, target) => {
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
    pass(socket, upstream);
    pass(upstream, socket);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(ownPort), ownHost, resolve);
  });
  return {
    readBytes: () => bytes,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
