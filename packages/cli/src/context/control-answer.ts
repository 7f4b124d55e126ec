/** The answer of a router daemon to a call of its control API. */
export interface ControlAnswer {
  status: number;
  body: string;
}
