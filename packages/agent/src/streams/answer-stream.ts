import type { createAnswerStream } from './create-answer-stream.js';

/** The answer to one request, while the endpoint sends it and a caller reads it. */
export type AnswerStream = ReturnType<typeof createAnswerStream>;
