/** What an endpoint's headers say of its answer. */
export interface AnswerFacts {
  /** Id of the request that it answers. */
  requestId?: string;
  /** Whether it bears the endpoint's signature. */
  isSigned: boolean;
  /** The endpoint states that the request did not run. */
  isNotRun: boolean;
  /** The endpoint at this address is another one than was asked for. */
  isOtherEndpoint: boolean;
  /** The body was changed on its way. */
  isForeignBody: boolean;
}
