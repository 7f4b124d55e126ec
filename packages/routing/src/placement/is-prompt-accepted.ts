/** Whether an endpoint with this load accepts the prompt that has drawn `draw`. */
export function isPromptAccepted(
  load: number,
  { lower, upper }: { lower: number; upper: number },
  draw: number,
): boolean {
  return (upper - load) / (upper - lower) > draw;
}
