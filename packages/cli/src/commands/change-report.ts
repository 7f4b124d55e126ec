/** What an operator learns of a change. */
export interface ChangeReport {
  changeId: string;
  /** Log index of the change; daemons run it at this state version or a later one. */
  index: number;
  configVersion: number;
  inForce: boolean;
  daemons: number;
  /** Daemons that do not run the change yet. */
  behind: string[];
}
