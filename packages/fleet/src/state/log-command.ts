import type { EndRollout } from './end-rollout.js';
import type { PatchConfig } from './patch-config.js';
import type { SharedCommand } from './shared-command.js';

/** A command in the log; logs of earlier versions hold whole configurations. */
export type LogCommand = PatchConfig | SharedCommand | EndRollout;
