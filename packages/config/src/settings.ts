import { z } from 'zod';
import { AgentSettings } from './agent-settings.js';
import { ControlSettings } from './control-settings.js';
import { EntrySettings } from './entry-settings.js';

const Settings = z.discriminatedUnion('role', [ControlSettings, EntrySettings, AgentSettings]);

type Settings = z.infer<typeof Settings>;

/** Settings of a process of any role: the schema and its inferred type. */
export { Settings };
