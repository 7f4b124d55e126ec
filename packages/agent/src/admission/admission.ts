import type { createAdmission } from './create-admission.js';

/** The admission control of an endpoint, which grants its slots. */
export type Admission = ReturnType<typeof createAdmission>;
