/** Numbered results of requests and commands; `docs/errors.md` explains each. */
const ResultCode = {
  ok: 0,
  // 1000: errors in the caller's request
  malformedRequest: 1000,
  bodyTooLarge: 1001,
  headersTooLarge: 1002,
  unknownPath: 1003,
  unknownService: 1004,
  missingIdempotencyKey: 1005,
  idempotencyKeyReused: 1006,
  /** The caller sent its request or read its answer too slowly. */
  slowCaller: 1007,
  // 1100: the caller's API key
  unauthorized: 1100,
  serviceNotAllowed: 1101,
  // 2000: limits
  accountLimit: 2000,
  queueFull: 2001,
  deadlineExceeded: 2002,
  retryBudgetSpent: 2003,
  // 3000: routing
  noEndpoint: 3000,
  endpointBusy: 3001,
  endpointLeaving: 3002,
  /** An operator took the data centre out. */
  dataCentreOut: 3003,
  /** The process lacks the state to serve, or its endpoint is down. */
  notReady: 3004,
  /** The agent has no contact with control. */
  isolated: 3005,
  /** Another endpoint has the chat's prompt in its cache. */
  chatElsewhere: 3006,
  /** The agent cannot get the state that the entry has. */
  staleState: 3007,
  /** The content may crash its endpoint, so a non-idempotent request with it is refused. */
  crashSuspect: 3008,
  /** The content is known to crash its endpoint. */
  crashConvicted: 3009,
  // 4000: execution and stored answers
  /** The request may have run. */
  outcomeUnknown: 4000,
  endpointFailed: 4001,
  streamBroken: 4002,
  streamUnknown: 4003,
  cancelled: 4004,
  alreadyRunning: 4005,
  /** The request has run; its answer is no longer stored. */
  answerNotKept: 4006,
  /** The record of the idempotency key has expired, so the outcome is no longer known. */
  recordExpired: 4007,
  /** The attempt was voided before it ran, and never will run. */
  attemptVoided: 4008,
  alreadyDone: 4009,
  // 5000: control group and configuration
  notLeader: 5000,
  noQuorum: 5001,
  versionConflict: 5002,
  invalidConfig: 5003,
  /** The command or query names an object that does not exist. */
  unknownTarget: 5004,
  staleFencingToken: 5005,
  storageFailed: 5006,
  /** The node has no disk or an outdated one, so it cannot be in the control group. */
  notMember: 5007,
  /** The maximum number of weight loads is running. */
  permitDenied: 5008,
  /** Another version of the service is being rolled out. */
  rolloutConflict: 5009,
  // 6000: settings and startup
  invalidSettings: 6000,
  unreadableFile: 6001,
  addressInUse: 6002,
  // 7000: communication between processes, and internal errors
  timeout: 7000,
  connectionFailed: 7001,
  /** The sender has no valid key, or its role may not send the message. */
  strangerRefused: 7002,
  malformedMessage: 7003,
  internal: 7999,
} as const;

type ResultCode = (typeof ResultCode)[keyof typeof ResultCode];

export { ResultCode };
