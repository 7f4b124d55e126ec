/** Headers that must not leave the entry: callers' keys, and those for the relay or one hop. */
const excludedHeaders = new Set([
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

/** Selects the headers for the endpoint; for a chat completion, only those describing the body. */
export function selectHeaders(
  headers: Record<string, string>,
  isCompletion: boolean,
): Record<string, string> {
  const contentType = headers['content-type'] ?? 'application/json';
  if (isCompletion) return { 'content-type': contentType };
  const selected: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (!excludedHeaders.has(name) && !name.startsWith('x-relay-')) selected[name] = value;
  });
  return selected;
}
