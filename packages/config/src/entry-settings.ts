import { z } from 'zod';
import { processSettings } from './process-settings.js';

const EntrySettings = z.strictObject({
  role: z.literal('entry'),
  ...processSettings,
  operatorKeys: z.array(z.string().min(16)).min(1),
  control: z
    .array(z.strictObject({ id: z.string().min(1), address: processSettings.address }))
    .min(1)
    .max(7),
});

type EntrySettings = z.infer<typeof EntrySettings>;

/** Settings of an entry process, schema and type. */
export { EntrySettings };
