import { z } from 'zod';
import { processSettings } from './process-settings.js';

const AgentSettings = z.strictObject({
  role: z.literal('agent'),
  ...processSettings,
  operatorKeys: z.array(z.string().min(16)).min(1),
  control: z
    .array(z.strictObject({ id: z.string().min(1), address: processSettings.address }))
    .min(1)
    .max(7),
  service: z.string().min(1),
  /** IP and port of the endpoint itself. */
  endpointAddress: processSettings.address,
  /** Requests that the endpoint runs at once when warm. */
  slots: z.int().min(1).max(10_000),
});

type AgentSettings = z.infer<typeof AgentSettings>;

/** Settings of an agent process, schema and type. */
export { AgentSettings };
