import { operatorArgs } from '../context/operator-args.js';

/** Flags of every command that changes the fleet. */
export const changeArgs = {
  ...operatorArgs,
  'change-id': {
    type: 'string',
    description: 'Id of the change; sending it again with the same id returns the first result',
  },
  'in-force-ms': {
    type: 'string',
    description: 'How long to wait until the change is in force, in milliseconds',
    default: '5000',
  },
} as const;
