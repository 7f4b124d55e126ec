export { AgentSettings } from './agent-settings.js';
export { ControlSettings } from './control-settings.js';
export { EntrySettings } from './entry-settings.js';
export { fleetConfigSchema } from './fleet-config-schema.js';
export { processSettings } from './process-settings.js';
