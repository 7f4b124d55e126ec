import type { createAdmission } from './create-admission.js';

/** Grants the slots of an endpoint. */
export type Admission = ReturnType<typeof createAdmission>;
