import { z } from 'zod';
import { addRepeats } from './add-repeats.js';
import { address } from './address.js';
import { controlList } from './control-list.js';
import { name } from './name.js';
import { processSettings } from './process-settings.js';

const mostSlots = 10_000;

const AgentSettings = z
  .strictObject({
    role: z.literal('agent'),
    ...processSettings,
    control: controlList,
    service: name,
    /** IP and port of the endpoint itself. */
    endpointAddress: address,
    /** Requests that the endpoint runs at once when warm. */
    slots: z.int().min(1).max(mostSlots),
  })
  .superRefine((settings, context) => {
    const controls = new Set(settings.control.map((control) => control.address));
    const uses = [
      ...[...controls].map((value) => ({ value, path: ['control'] })),
      { value: settings.address, path: ['address'] },
      { value: settings.endpointAddress, path: ['endpointAddress'] },
    ];
    addRepeats(context, 'an address that is used once', uses, (use) => use);
  });

type AgentSettings = z.infer<typeof AgentSettings>;

/** Settings of an agent process, schema and type. */
export { AgentSettings };
