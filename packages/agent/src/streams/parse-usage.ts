import { z } from 'zod';
import type { Usage } from './usage.js';

const schema = z.object({
  usage: z.object({
    prompt_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }),
  }),
});

/** Returns the usage from a JSON text; undefined if there is none. */
export function parseUsage(text: string): Usage | undefined {
  if (!text.includes('"usage"')) return undefined;
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) return undefined;
    const { prompt_tokens: promptTokens, prompt_tokens_details: details } = parsed.data.usage;
    return { promptTokens, cachedTokens: details.cached_tokens };
  } catch {
    return undefined;
  }
}
