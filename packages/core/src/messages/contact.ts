/** How a daemon stands to control; section 6.3 of the design. */
export type Contact = 'attached' | 'relayed' | 'leaderless' | 'isolated';
