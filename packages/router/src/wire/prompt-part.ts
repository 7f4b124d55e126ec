/** A part of a prompt that engines can cache. */
export interface PromptPart {
  id: string;
  tokens: number;
}
