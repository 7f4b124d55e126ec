import type { createAdmission } from './create-admission.js';

/** Gives out the slots of an endpoint. */
export type Admission = ReturnType<typeof createAdmission>;
