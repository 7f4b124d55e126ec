import type { IncomingHttpHeaders } from 'node:http';

const hopHeaders = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'host',
  'te',
  'trailer',
]);

/** Headers with one text each, without those that concern one connection only. */
export function toPlainHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const plain: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || hopHeaders.has(name)) return;
    plain[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return plain;
}
