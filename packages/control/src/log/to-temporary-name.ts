/** Name under which the next content of a file is written until it is complete. */
export const toTemporaryName = (name: string): string => `${name}.new`;
