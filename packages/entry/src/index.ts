export { buildProblem } from './build-problem.js';
export type { CallerReply } from './caller-reply.js';
export type { CallerRequest } from './caller-request.js';
export { createEntry } from './create-entry.js';
export { findAccount } from './find-account.js';
