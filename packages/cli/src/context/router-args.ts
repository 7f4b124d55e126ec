/** Flags of all commands and queries that connect to router daemons. */
export const routerArgs = {
  control: {
    type: 'string',
    description: 'Control addresses of router daemons (IP:port), separated by commas',
    required: true,
  },
  json: { type: 'boolean', description: 'Print JSON', default: false },
} as const;
