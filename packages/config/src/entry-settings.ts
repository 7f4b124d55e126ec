import { z } from 'zod';
import { addDuplicateIssues } from './add-duplicate-issues.js';
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
    const occurrences = [
      ...[...controls].map((value) => ({ value, path: ['control'] })),
      { value: settings.address, path: ['address'] },
    ];
    addDuplicateIssues(
      context,
      'an address that is used once',
      occurrences,
      (occurrence) => occurrence,
    );
  });

type EntrySettings = z.infer<typeof EntrySettings>;

/** Settings of an entry process: the schema and its inferred type. */
export { EntrySettings };
