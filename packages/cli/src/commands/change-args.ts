import { operatorArgs } from '../context/operator-args.js';

/** Flags of every command that changes the fleet. */
export const changeArgs = {
  ...operatorArgs,
  'change-id': {
    type: 'string',
    description: 'Id of the change; a resend under the same id gets the first answer',
  },
  'in-force-ms': {
    type: 'string',
    description: 'How long to wait until the change is in force, in milliseconds',
    default: '5000',
  },
} as const;
