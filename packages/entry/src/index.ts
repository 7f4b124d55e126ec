export { buildProblem } from './build-problem.js';
export type { CallerReply } from './caller-reply.js';
export type { CallerRequest } from './caller-request.js';
export { createEntry } from './create-entry.js';
export type { Candidates } from './placement/candidates.js';
export { chooseLessLoaded } from './placement/choose-less-loaded.js';
export { placeReturningChat } from './placement/place-returning-chat.js';
export type { PlacementStrategy } from './placement/placement-strategy.js';
