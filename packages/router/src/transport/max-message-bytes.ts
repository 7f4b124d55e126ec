/** Maximum size of a message between daemons; configurations and snapshots are sent in parts. */
export const maxMessageBytes = 16 * 1024 * 1024;
