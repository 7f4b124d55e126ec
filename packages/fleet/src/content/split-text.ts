/** Pieces end after a closing brace, as the objects of a JSON text do, or at their maximum length. */
const piecePattern = /[^}]{1,512}\}?|\}/g;

/** Splits a text into pieces at positions that depend only on the text around them. */
export function splitText(text: string): string[] {
  return text.match(piecePattern) ?? [];
}
