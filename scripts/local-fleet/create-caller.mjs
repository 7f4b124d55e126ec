const requestTimeoutMs = 30_000;

/** Makes a caller with an account's key; it keeps the ids of its requests. */
export default function createCaller(entries, key) {
  let next = 0;

  /** Sends to the entry with that number, or to the next one. */
  const send = (path, { entry = (next += 1), headers = {}, ...options } = {}) =>
    fetch(`http://${entries[entry % entries.length].address}${path}`, {
      ...options,
      headers: {
        authorization: `Bearer ${key}`,
        ...(options.body ? { 'content-type': 'application/json' } : {}),
        ...headers,
      },
      signal: options.signal ?? AbortSignal.timeout(requestTimeoutMs),
    });

  const sendJson = async (path, body, options = {}) => {
    const answer = await send(path, { method: 'POST', body: JSON.stringify(body), ...options });
    const text = await answer.text();
    if (!answer.ok) throw new Error(`${answer.status} ${text}`);
    return { answer, text, json: JSON.parse(text) };
  };

  return { send, sendJson };
}
