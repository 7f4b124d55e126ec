import { z } from 'zod';
import { address } from './address.js';
import { name } from './name.js';

const OperatorSettings = z.strictObject({
  /** Name recorded in the change history for changes made with these settings. */
  operator: name,
  operatorKey: z.string().min(16),
  /** IP and port of each control node. */
  control: z.array(address).min(1).max(7),
});

type OperatorSettings = z.infer<typeof OperatorSettings>;

/** Settings of an operator's command line: the schema and its inferred type. */
export { OperatorSettings };
