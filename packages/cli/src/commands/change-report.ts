/** Result of a change, as shown to the operator. */
export interface ChangeReport {
  changeId: string;
  /** Log index of the change; daemons at this state version or a later one have applied it. */
  index: number;
  configVersion: number;
  inForce: boolean;
  daemons: number;
  /** Daemons that have not applied the change yet. */
  behind: string[];
}
