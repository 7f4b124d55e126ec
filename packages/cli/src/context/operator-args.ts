/** Flags of all commands and queries that connect to control nodes. */
export const operatorArgs = {
  fleet: {
    type: 'string',
    description: "JSON file with the operator's name and key and the addresses of control nodes",
    valueHint: 'file',
  },
  control: {
    type: 'string',
    description: 'Addresses of control nodes (IP:port), separated by commas; overrides the file',
  },
  key: { type: 'string', description: 'Key of the operator; overrides the file' },
  operator: { type: 'string', description: 'Name of the operator; overrides the file' },
  json: { type: 'boolean', description: 'Print JSON', default: false },
} as const;
