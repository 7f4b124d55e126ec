/** What an event tells besides its name. */
export type EventDetails = Record<string, string | number | boolean>;
