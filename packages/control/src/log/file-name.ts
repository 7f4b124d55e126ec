/** Names of the files in the data folder. */
export const FileName = { identity: 'identity', log: 'log', snapshot: 'snapshot' } as const;
