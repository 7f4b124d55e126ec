import type { createAnswerStream } from './create-answer-stream.js';

/** The running answer of one request. */
export type AnswerStream = ReturnType<typeof createAnswerStream>;
