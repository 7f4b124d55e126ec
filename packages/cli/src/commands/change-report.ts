/** Result of a change, as shown to the operator. */
export interface ChangeReport {
  changeId: string;
  /** Log index of the change; daemons at this state version or a later one have applied it. */
  index: number;
  configVersion: number;
  /** Whether all daemons that reported recently have applied the change. */
  inForce: boolean;
  /** Number of daemons that reported recently. */
  daemons: number;
  /** Those of them that have not applied the change yet. */
  behind: string[];
}
