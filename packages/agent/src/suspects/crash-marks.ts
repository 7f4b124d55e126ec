import type { createCrashMarks } from './create-crash-marks.js';

/** The view of crash marks. */
export type CrashMarks = ReturnType<typeof createCrashMarks>;
