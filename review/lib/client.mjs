import { sendCall } from './send-call.mjs';

let count = 0;

/** Sends one client attempt to a front; each has an id of its own. */
export async function sendAttempt({ front, host, path, key, log, method = 'POST', ...options }) {
  const { body = 'x', deadlineMs = 1000, headers = {}, note = {} } = options;
  count += 1;
  const attempt = `${process.pid.toString(16)}-${count}`;
  const sentAt = performance.now();
  const reply = await sendCall({
    ...{ address: front, method, path, body, timeoutMs: deadlineMs + 500 },
    headers: {
      ...{ Host: host, 'Attempt-Id': attempt, 'Deadline-Ms': String(deadlineMs) },
      ...{ Authorization: `Bearer ${key}`, ...headers },
      ...(body ? { 'Content-Length': Buffer.byteLength(body) } : {}),
    },
  });
  const ms = Math.round(performance.now() - sentAt);
  log('answered', {
    attempt,
    front,
    path,
    status: reply.status,
    reason: reply.reason,
    ms,
    ...note,
  });
  return { ...reply, attempt, sentAt };
}

/** Calls `send(index)` at an even rate until `stop()` is called; then waits for what is open. */
export function startTraffic(perS, send) {
  const open = new Set();
  let index = 0;
  const timer = setInterval(() => {
    const sent = send(index);
    index += 1;
    open.add(sent);
    void sent.finally(() => open.delete(sent));
  }, 1000 / perS);
  return {
    stop: async () => {
      clearInterval(timer);
      await Promise.all(open);
    },
  };
}
