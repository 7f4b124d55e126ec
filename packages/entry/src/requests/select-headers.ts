/** Headers that concern the relay or one connection only; keys of callers never leave the entry. */
const ownHeaders = new Set([
  'authorization',
  'connection',
  'content-length',
  'cookie',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-chat-id',
  'x-deadline-ms',
  'x-resumable',
]);

/** The caller's headers that go to the endpoint; of a chat completion only what describes the body. */
export function selectHeaders(
  headers: Record<string, string>,
  isCompletion: boolean,
): Record<string, string> {
  const contentType = headers['content-type'] ?? 'application/json';
  if (isCompletion) return { 'content-type': contentType };
  const selected: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (!ownHeaders.has(name) && !name.startsWith('x-relay-')) selected[name] = value;
  });
  return selected;
}
