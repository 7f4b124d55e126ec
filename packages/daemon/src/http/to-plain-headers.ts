import type { IncomingHttpHeaders } from 'node:http';

const hopByHopHeaders = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'host',
  'te',
  'trailer',
]);

/** Joins the values of repeated headers and leaves out hop-by-hop headers. */
export function toPlainHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const joined: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || hopByHopHeaders.has(name)) return;
    joined[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return joined;
}
