import type { MemoryNeed } from './memory-need.js';

interface PromptFacts {
  promptParts: readonly { id: string; tokens: number }[];
  promptTokens: number;
  maxOutputTokens?: number;
}

/** Output that is expected when the request names no limit. */
const defaultOutputTokens = 256;
/** Parts of one prompt that are counted on their own; it bounds what a request may occupy here. */
const maxParts = 16;

/** Computes what a request needs of an engine's memory; undefined without a prompt. */
export function buildMemoryNeed(facts: PromptFacts): MemoryNeed | undefined {
  const { promptParts, promptTokens, maxOutputTokens = defaultOutputTokens } = facts;
  if (promptParts.length === 0 && promptTokens === 0) return undefined;
  const sharedParts = promptParts.slice(0, -1).slice(0, maxParts);
  const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
  const listed = promptParts.reduce((sum, { tokens }) => sum + tokens, 0);
  const ownPrompt = Math.max(0, Math.max(promptTokens, listed) - sharedTokens);
  return { ownTokens: ownPrompt + maxOutputTokens, sharedParts };
}
