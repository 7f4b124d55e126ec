/** Additional values of an event. */
export type EventDetails = Record<string, string | number | boolean>;
