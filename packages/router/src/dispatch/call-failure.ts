/** Error of a call to an endpoint that got no complete answer. */
export class CallFailure extends Error {
  /** Whether any byte of the request may have been sent; otherwise it cannot have run. */
  readonly isSent: boolean;

  readonly kind:
    | 'refused'
    | 'connectTimeout'
    | 'silent'
    | 'broken'
    /** The endpoint sent bytes that are no answer. */
    | 'spoilt'
    | 'cancelled'
    /** The request cannot be sent to any endpoint. */
    | 'invalid';

  constructor(kind: CallFailure['kind'], isSent: boolean, message: string) {
    super(message);
    this.name = 'CallFailure';
    this.kind = kind;
    this.isSent = isSent;
  }
}
