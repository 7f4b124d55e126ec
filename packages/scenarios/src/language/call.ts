/** One request and the answer that its caller received. */
export interface Call {
  /** Calls with the same name are resends of one request. */
  name: string;
  type: 'notice' | 'lookup' | 'photo' | 'chat';
  /** Id of the entry. */
  via: string;
  /** Monotonic time at which the request was sent, in milliseconds. */
  sentAt: number;
  /** Monotonic time at which the answer ended or failed, in milliseconds. */
  endedAt?: number;
  /** 0 when the connection broke before the answer started. */
  status?: number;
  code?: number;
  notRun?: boolean;
  text?: string;
  /** Whether the caller saw the connection break before the end of the answer. */
  isBroken?: boolean;
}
