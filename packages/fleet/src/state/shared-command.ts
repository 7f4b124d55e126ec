import type { OrderCommand } from './order-command.js';
import type { PutConfig } from './put-config.js';

/** A command of an operator that changes the shared state. */
export type SharedCommand = PutConfig | OrderCommand;
