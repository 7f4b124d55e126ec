/** What a request needs of an engine's memory. */
export interface MemoryNeed {
  /** Tokens of its own: the last part of its prompt and the expected output. */
  ownTokens: number;
  /** Parts of its prompt that an engine holds once for all requests with them. */
  sharedParts: readonly { id: string; tokens: number }[];
}
