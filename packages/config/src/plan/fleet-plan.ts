import { z } from 'zod';
import { address } from '../address.js';
import { keyList } from '../key-list.js';
import { name } from '../name.js';

const processFields = { id: name, vm: name, dataCentre: name, address };

const FleetPlan = z.strictObject({
  peerKeys: keyList,
  operatorKeys: keyList,
  /** Parent of the control nodes' data folders. */
  dataFolder: z.string().min(1),
  control: z.array(z.strictObject(processFields)).min(1).max(7),
  entries: z.array(z.strictObject(processFields)),
  agents: z.array(
    z.strictObject({
      ...processFields,
      service: name,
      endpointAddress: address,
      slots: z.int().min(1).max(10_000),
    }),
  ),
});

type FleetPlan = z.infer<typeof FleetPlan>;

/** Plan of where the processes of a fleet run: the schema and its inferred type. */
export { FleetPlan };
