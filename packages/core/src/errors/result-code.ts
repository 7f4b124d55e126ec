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
  slowCaller: 1007,
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
  dataCentreOut: 3003,
  notReady: 3004,
  isolated: 3005,
  chatElsewhere: 3006,
  staleState: 3007,
  crashSuspect: 3008,
  crashConvicted: 3009,
  // 4000: running requests
  outcomeUnknown: 4000,
  endpointFailed: 4001,
  streamBroken: 4002,
  streamUnknown: 4003,
  cancelled: 4004,
  alreadyRunning: 4005,
  answerNotKept: 4006,
  recordExpired: 4007,
  attemptVoided: 4008,
  alreadyDone: 4009,
  // 5000: control
  notLeader: 5000,
  noQuorum: 5001,
  versionConflict: 5002,
  invalidConfig: 5003,
  unknownTarget: 5004,
  staleFencingToken: 5005,
  storageFailed: 5006,
  notMember: 5007,
  permitDenied: 5008,
  // 6000: settings and startup
  invalidSettings: 6000,
  unreadableFile: 6001,
  addressInUse: 6002,
  // 7000: communication between processes, and internal errors
  timeout: 7000,
  connectionFailed: 7001,
  strangerRefused: 7002,
  malformedMessage: 7003,
  internal: 7999,
} as const;

type ResultCode = (typeof ResultCode)[keyof typeof ResultCode];

export { ResultCode };
