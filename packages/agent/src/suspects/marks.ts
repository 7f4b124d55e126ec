import type { createMarks } from './create-marks.js';

/** The view of crash marks. */
export type Marks = ReturnType<typeof createMarks>;
