/** One request of a caller and what the caller saw. */
export interface Call {
  /** Requests with the same name are resends of one request. */
  name: string;
  type: 'notice' | 'lookup' | 'photo' | 'chat';
  via: string;
  sentAt: number;
  endedAt?: number;
  /** 0 when the connection broke before an answer began. */
  status?: number;
  code?: number;
  notRun?: boolean;
  text?: string;
  /** The answer broke off visibly. */
  isBroken?: boolean;
}
