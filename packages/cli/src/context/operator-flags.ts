/** Values of the flags of every command and query that asks the control nodes. */
export interface OperatorFlags {
  fleet?: string | undefined;
  control?: string | undefined;
  key?: string | undefined;
  operator?: string | undefined;
  json?: boolean | undefined;
}
