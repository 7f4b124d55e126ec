/** A part of a prompt that engines can keep in their cache. */
export interface PromptPart {
  id: string;
  tokens: number;
}
