import { z } from 'zod';
import { addDuplicateIssues } from './add-duplicate-issues.js';
import { address } from './address.js';
import { controlList } from './control-list.js';
import { name } from './name.js';
import { processSettings } from './process-settings.js';

const maxSlots = 10_000;

const AgentSettings = z
  .strictObject({
    role: z.literal('agent'),
    ...processSettings,
    control: controlList,
    service: name,
    /** IP and port of the endpoint itself. */
    endpointAddress: address,
    /** Concurrent requests that the endpoint can run when warm. */
    slots: z.int().min(1).max(maxSlots),
  })
  .superRefine((settings, context) => {
    const controls = new Set(settings.control.map((control) => control.address));
    const occurrences = [
      ...[...controls].map((value) => ({ value, path: ['control'] })),
      { value: settings.address, path: ['address'] },
      { value: settings.endpointAddress, path: ['endpointAddress'] },
    ];
    addDuplicateIssues(
      context,
      'an address that is used once',
      occurrences,
      (occurrence) => occurrence,
    );
  });

type AgentSettings = z.infer<typeof AgentSettings>;

/** Settings of an agent process: the schema and its inferred type. */
export { AgentSettings };
