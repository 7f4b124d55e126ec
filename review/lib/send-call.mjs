import { request } from 'node:http';

/**
 * Sends one call on a connection of its own and gives it up after a time. Resolves with the status
 * and the body, or with status 0 when there was no answer.
 */
export function sendCall({ address, method = 'GET', path, body, headers = {}, timeoutMs = 1000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const call = request({ host, port, method, path, headers, agent: false }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () => {
        clearTimeout(timer);
        resolve({
          ...{ status: answer.statusCode, headers: answer.headers },
          body: Buffer.concat(chunks).toString(),
          isComplete: answer.complete,
        });
      });
      answer.on('error', (error) => fail(error.code ?? error.message));
    });
    const fail = (reason) => {
      clearTimeout(timer);
      resolve({ status: 0, headers: {}, body: '', reason });
    };
    const timer = setTimeout(() => {
      fail('timeout');
      call.destroy();
    }, timeoutMs);
    call.on('error', (error) => fail(error.code ?? error.message));
    call.end(body);
  });
}
