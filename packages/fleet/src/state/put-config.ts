/** A command of an operator that replaces the configuration. */
export interface PutConfig {
  type: 'putConfig';
  version: number;
  /** The configuration as the operator sent it. */
  source: string;
}
