import { request } from 'node:http';

/**
 * Makes one HTTP call on a connection of its own. Resolves with the status, headers and body, or
 * with the reason for which there is no complete answer.
 */
export function call({ address, method, path, headers = {}, body, timeoutMs = 1_000 }) {
  const [host, port] = address.split(':');
  const payload = body === undefined ? undefined : Buffer.from(body);
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent: false }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', (error) => resolve({ status: 0, reason: error.message }));
      answer.on('end', () =>
        resolve({
          status: answer.complete ? answer.statusCode : 0,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeoutMs);
    outgoing.on('error', (error) => resolve({ status: 0, reason: error.message }));
    outgoing.on('close', () => {
      clearTimeout(timer);
      resolve({ status: 0, reason: 'closed' });
    });
    if (payload) outgoing.setHeader('content-length', payload.length);
    outgoing.end(payload);
  });
}
