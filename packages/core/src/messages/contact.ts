/** A daemon's contact with control; see section 6.3 of the design. */
export type Contact = 'attached' | 'relayed' | 'leaderless' | 'isolated';
