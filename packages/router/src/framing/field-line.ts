/** One field of a head. */
export interface FieldLine {
  /** In lower case. */
  name: string;
  /** With the white space around it. */
  value: string;
}
