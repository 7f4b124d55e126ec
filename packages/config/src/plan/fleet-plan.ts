import { z } from 'zod';
import { address } from '../address.js';
import { keyList } from '../key-list.js';
import { name } from '../name.js';

const place = { id: name, vm: name, dataCentre: name, address };

const FleetPlan = z.strictObject({
  peerKeys: keyList,
  operatorKeys: keyList,
  /** Folder under which each control node has its own. */
  dataFolder: z.string().min(1),
  control: z.array(z.strictObject(place)).min(1).max(7),
  entries: z.array(z.strictObject(place)),
  agents: z.array(
    z.strictObject({
      ...place,
      service: name,
      endpointAddress: address,
      slots: z.int().min(1).max(10_000),
    }),
  ),
});

type FleetPlan = z.infer<typeof FleetPlan>;

/** Where the processes of a fleet run, schema and type. */
export { FleetPlan };
