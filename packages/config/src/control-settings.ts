import { z } from 'zod';
import { processSettings } from './process-settings.js';

const ControlSettings = z.strictObject({
  role: z.literal('control'),
  ...processSettings,
  operatorKeys: z.array(z.string().min(16)).min(1),
  /** Folder for the log and snapshots. */
  dataFolder: z.string().min(1),
  /** All control nodes, this one included. */
  group: z
    .array(z.strictObject({ id: z.string().min(1), address: processSettings.address }))
    .min(1)
    .max(7),
});

type ControlSettings = z.infer<typeof ControlSettings>;

/** Settings of a control process, schema and type. */
export { ControlSettings };
