/** Encodes a value as ASCII-only JSON, which an HTTP header can carry. */
export function encodeHead(value: unknown): string {
  return JSON.stringify(value).replace(
    /[\u007f-\uffff]/g,
    (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
