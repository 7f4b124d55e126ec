import type { ContentPart } from './content-part.js';

/** How far a content has been received; `offset` is that of the next part. */
export type IncomingPosition = Pick<ContentPart, 'hash' | 'baseHash' | 'offset'>;
