import type { IncomingMessage } from 'node:http';
import { hopHeaders } from './hop-headers.js';

/** Selects the headers of an endpoint's answer for the caller, without the hop-by-hop ones. */
export function selectAnswerHeaders(
  { rawHeaders, headers }: Pick<IncomingMessage, 'rawHeaders' | 'headers'>,
  bodyBytes: number | undefined,
): string[] {
  const connectionHeaders = (headers.connection ?? '').toLowerCase().split(/\s*,\s*/);
  const selected: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (hopHeaders.has(lower) || lower === 'content-length' || connectionHeaders.includes(lower))
      continue;
    selected.push(name, rawHeaders[index + 1] ?? '');
  }
  if (bodyBytes !== undefined) selected.push('Content-Length', String(bodyBytes));
  return selected;
}
