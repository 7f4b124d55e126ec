import { request } from 'node:http';

/** Sends one request over a new connection; resolves with status 0 when no answer came in time. */
export function call(host, port, { method = 'GET', path, headers = {}, body, timeoutMs = 1_000 }) {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent: false }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', () => settle({ status: 0 }));
      answer.on('end', () =>
        settle({
          status: answer.statusCode,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
      settle({ status: 0 });
    }, timeoutMs);
    const settle = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on('error', () => settle({ status: 0 }));
    outgoing.end(body);
  });
}
