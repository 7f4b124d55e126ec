import { z } from 'zod';
import { addDuplicateIssues } from './add-duplicate-issues.js';
import { address } from './address.js';
import { name } from './name.js';

const maxControlNodes = 7;

/** Schema of the list of control nodes, whose ids and addresses must be unique. */
export const controlList = z
  .array(z.strictObject({ id: name, address }))
  .min(1)
  .max(maxControlNodes)
  .superRefine((controls, context) => {
    addDuplicateIssues(
      context,
      'an id that no other control node has',
      controls,
      ({ id }, index) => ({
        value: id,
        path: [index, 'id'],
      }),
    );
    addDuplicateIssues(context, 'an address that is used once', controls, (control, index) => ({
      value: control.address,
      path: [index, 'address'],
    }));
  });
