import { z } from 'zod';
import { controlList } from './control-list.js';
import { processSettings } from './process-settings.js';

const ControlSettings = z
  .strictObject({
    role: z.literal('control'),
    ...processSettings,
    /** Folder for the replicated log and its snapshots. */
    dataFolder: z.string().min(1),
    /** All control nodes, this one included. */
    group: controlList,
  })
  .superRefine(({ id, address, group }, context) => {
    if (group.some((node) => node.id === id && node.address === address)) return;
    context.addIssue({
      code: 'custom',
      path: ['group'],
      message: `a list with this node, ${id} at ${address}`,
    });
  });

type ControlSettings = z.infer<typeof ControlSettings>;

/** Settings of a control process: the schema and its inferred type. */
export { ControlSettings };
