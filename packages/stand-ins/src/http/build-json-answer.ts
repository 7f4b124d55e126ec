import type { EndpointAnswer } from '@vanillarelay/core';

/** Builds an answer with a JSON body. */
export function buildJsonAnswer(status: number, value: unknown): EndpointAnswer {
  async function* writeBody() {
    yield Buffer.from(JSON.stringify(value));
  }
  return { status, headers: { 'content-type': 'application/json' }, body: writeBody() };
}
