import { z } from 'zod';
import { addRepeats } from './add-repeats.js';
import { address } from './address.js';
import { name } from './name.js';

const mostControls = 7;

/** Schema of the list of control nodes: ids and addresses differ. */
export const controlList = z
  .array(z.strictObject({ id: name, address }))
  .min(1)
  .max(mostControls)
  .superRefine((controls, context) => {
    addRepeats(context, 'an id that no other control node has', controls, ({ id }, index) => ({
      value: id,
      path: [index, 'id'],
    }));
    addRepeats(context, 'an address that is used once', controls, (control, index) => ({
      value: control.address,
      path: [index, 'address'],
    }));
  });
