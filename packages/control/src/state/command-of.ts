import type { Command } from '@vanillarelay/core';

/** The command of one type. */
export type CommandOf<Type extends Command['type']> = Extract<Command, { type: Type }>;
