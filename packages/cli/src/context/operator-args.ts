/** Flags of every command and query that asks the control nodes. */
export const operatorArgs = {
  fleet: {
    type: 'string',
    description: "JSON file with the operator's name, key and control addresses",
    valueHint: 'file',
  },
  control: { type: 'string', description: 'IP:port of control nodes, separated by commas' },
  key: { type: 'string', description: "The operator's key" },
  operator: { type: 'string', description: "The operator's name" },
  json: { type: 'boolean', description: 'Print JSON', default: false },
} as const;
