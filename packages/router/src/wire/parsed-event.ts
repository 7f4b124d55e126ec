/** The id of a stream's next event, or why the fields are not that event. */
export type ParsedEvent = { id: string } | { fault: string };
