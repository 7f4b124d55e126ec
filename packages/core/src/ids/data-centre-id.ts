import type { Id } from './id.js';

/** Names a data centre. */
export type DataCentreId = Id<'DataCentreId'>;
