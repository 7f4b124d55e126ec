import type { Id } from './id.js';

/** Identifies a data centre. */
export type DataCentreId = Id<'DataCentreId'>;
