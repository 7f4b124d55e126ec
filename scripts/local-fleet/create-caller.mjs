const requestTimeoutMs = 30_000;

/** Creates a caller that sends requests to the entries with an account's key. */
export default function createCaller(entries, key) {
  let next = 0;

  /** Sends a request to the entry with the given index, or to the next one in turn. */
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
