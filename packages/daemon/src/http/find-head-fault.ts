import type { Dispatcher } from 'undici';

const firstStatus = 200;
const lastStatus = 599;

/** Why an answer cannot be relayed, as far as its head tells; undefined when it can. */
export function findHeadFault({ statusCode }: Dispatcher.ResponseData): string | undefined {
  if (statusCode < firstStatus || statusCode > lastStatus) return `status ${statusCode}`;
  return undefined;
}
