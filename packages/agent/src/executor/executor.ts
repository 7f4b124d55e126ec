import type { createExecutor } from './create-executor.js';

/** Runs admitted requests at the endpoint. */
export type Executor = ReturnType<typeof createExecutor>;
