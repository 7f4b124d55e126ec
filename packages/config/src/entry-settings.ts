import { z } from 'zod';
import { addRepeats } from './add-repeats.js';
import { controlList } from './control-list.js';
import { processSettings } from './process-settings.js';

const EntrySettings = z
  .strictObject({
    role: z.literal('entry'),
    ...processSettings,
    control: controlList,
  })
  .superRefine((settings, context) => {
    const controls = new Set(settings.control.map((control) => control.address));
    const uses = [
      ...[...controls].map((value) => ({ value, path: ['control'] })),
      { value: settings.address, path: ['address'] },
    ];
    addRepeats(context, 'an address that is used once', uses, (use) => use);
  });

type EntrySettings = z.infer<typeof EntrySettings>;

/** Settings of an entry process, schema and type. */
export { EntrySettings };
