/** One line of an event of a stream; a comment has an empty name. */
export interface EventField {
  name: string;
  value: string;
}
