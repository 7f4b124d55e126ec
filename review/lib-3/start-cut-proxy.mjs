import { connect, createServer } from 'node:net';

/**
 * Starts a proxy that swallows all bytes while its path is cut, without closing anything, and passes
 * connections on that begin after the cut has healed.
 */
export async function startCutProxy({ host, port, target }) {
  let isCut = true;
  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => sockets.delete(socket));
    if (isCut) {
      socket.resume();
      return;
    }
    const onward = connect({ host: target.host, port: target.port });
    sockets.add(onward);
    onward.on('error', () => socket.destroy());
    socket.on('close', () => onward.destroy());
    onward.on('close', () => {
      sockets.delete(onward);
      socket.destroy();
    });
    socket.pipe(onward).pipe(socket);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    heal: () => {
      isCut = false;
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
