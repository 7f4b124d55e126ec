/** Values of the flags of all commands and queries that connect to control nodes. */
export interface OperatorFlags {
  fleet?: string | undefined;
  control?: string | undefined;
  key?: string | undefined;
  operator?: string | undefined;
  json?: boolean | undefined;
}
