import type { createCrashMarks } from './create-crash-marks.js';

/** Lookup of crash marks. */
export type CrashMarks = ReturnType<typeof createCrashMarks>;
