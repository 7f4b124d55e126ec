import { countTokens } from './count-tokens.js';

interface PrefixCacheOptions {
  capacityTokens: number;
  /** Called for each chat that is stored or evicted. */
  report: (type: 'stored' | 'evicted', chat: string, tokens: number) => void;
}

/**
 * Creates the prefix cache, which stores the processed text of each chat and evicts the least
 * recently written.
 */
export function createPrefixCache({ capacityTokens, report }: PrefixCacheOptions) {
  const texts = new Map<string, string>();
  let totalTokens = 0;

  const remove = (chat: string): void => {
    totalTokens -= countTokens(texts.get(chat) ?? '');
    texts.delete(chat);
  };

  /** Evicts the texts written longest ago until the rest fits. */
  const removeExcess = (): void => {
    while (totalTokens > capacityTokens) {
      const [oldest, text] = texts.entries().next().value as [string, string];
      remove(oldest);
      report('evicted', oldest, countTokens(text));
    }
  };

  /** Returns the number of tokens at the start of the prompt that are cached. */
  const read = (chat: string, prompt: string): number =>
    countTokens(prompt.slice(0, countCommonCharacters(texts.get(chat) ?? '', prompt)));

  const write = (chat: string, text: string): void => {
    remove(chat);
    texts.set(chat, text);
    totalTokens += countTokens(text);
    report('stored', chat, countTokens(text));
    removeExcess();
  };

  return {
    read,
    write,
    find: (chat: string): string | undefined => texts.get(chat),
    clear: (): void => {
      texts.clear();
      totalTokens = 0;
    },
    countAllTokens: (): number => totalTokens,
  };
}

function countCommonCharacters(a: string, b: string): number {
  if (b.startsWith(a)) return a.length;
  const length = Math.min(a.length, b.length);
  let common = 0;
  while (common < length && a.charCodeAt(common) === b.charCodeAt(common)) common += 1;
  return common;
}
