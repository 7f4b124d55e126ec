import { countTokens } from './count-tokens.js';

interface PrefixCacheOptions {
  capacityTokens: number;
  /** Called for each chat that is stored or evicted. */
  report: (type: 'stored' | 'evicted', chat: string, tokens: number) => void;
}

/** Makes the prefix cache: the computed text of each chat, least recently used ones evicted first. */
export function createPrefixCache({ capacityTokens, report }: PrefixCacheOptions) {
  const texts = new Map<string, string>();
  let total = 0;

  const remove = (chat: string): void => {
    total -= countTokens(texts.get(chat) ?? '');
    texts.delete(chat);
  };

  const removeOldest = (): void => {
    while (total > capacityTokens) {
      const [oldest, text] = texts.entries().next().value as [string, string];
      remove(oldest);
      report('evicted', oldest, countTokens(text));
    }
  };

  /** Tokens at the start of the prompt that are already computed. */
  const read = (chat: string, prompt: string): number =>
    countTokens(prompt.slice(0, countCommon(texts.get(chat) ?? '', prompt)));

  const write = (chat: string, text: string): void => {
    remove(chat);
    texts.set(chat, text);
    total += countTokens(text);
    report('stored', chat, countTokens(text));
    removeOldest();
  };

  return {
    read,
    write,
    find: (chat: string): string | undefined => texts.get(chat),
    clear: (): void => {
      texts.clear();
      total = 0;
    },
    countTokens: (): number => total,
  };
}

function countCommon(a: string, b: string): number {
  if (b.startsWith(a)) return a.length;
  const length = Math.min(a.length, b.length);
  let common = 0;
  while (common < length && a.charCodeAt(common) === b.charCodeAt(common)) common += 1;
  return common;
}
