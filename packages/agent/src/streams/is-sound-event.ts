const fieldPattern = /^(?:data|event|id|retry)(?::|$)/;
// eslint-disable-next-line no-control-regex -- finds control characters
const controlPattern = /[\0-\x08\x0b-\x1f\x7f]/;

/** Whether lines between two blank lines are an event with data, or nothing but comments. */
export function isSoundEvent(lines: readonly string[]): boolean {
  if (lines.some((line) => controlPattern.test(line))) return false;
  const fields = lines.filter((line) => !line.startsWith(':'));
  const hasData = fields.some((line) => line === 'data' || line.startsWith('data:'));
  return (fields.length === 0 || hasData) && fields.every((line) => fieldPattern.test(line));
}
