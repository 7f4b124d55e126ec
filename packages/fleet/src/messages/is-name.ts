const maxNameLength = 256;

/** Whether a received value is a name or id of a bounded length. */
export function isName(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0 && value.length <= maxNameLength;
}
