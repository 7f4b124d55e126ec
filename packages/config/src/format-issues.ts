import type { z } from 'zod';

type Issue = z.core.$ZodIssue;

const secretFields = new Set(['peerKeys', 'operatorKeys', 'operatorKey', 'keys', 'keyHashes']);
const maxValueLength = 80;

/** Formats each issue as a line with its path, the value found and what is allowed. */
export function formatIssues(issues: readonly Issue[], input: unknown): string[] {
  return issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => {
        const path = [...issue.path, key];
        return `${formatPath(path)}: got an unknown key, allowed: only keys of the schema`;
      });
    }
    const path = formatPath(issue.path);
    return [`${path}: got ${formatValue(issue.path, input)}, allowed: ${formatAllowed(issue)}`];
  });
}

function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) return '(whole file)';
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? String(part) : `.${String(part)}`;
    })
    .join('');
}

function formatValue(path: readonly PropertyKey[], input: unknown): string {
  let value = input;
  path.forEach((part) => {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[part];
  });
  if (value === undefined) return 'nothing';
  if (path.some((part) => secretFields.has(String(part)))) {
    return formatSecret(value);
  }
  const text = JSON.stringify(value);
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : text;
}

function formatSecret(value: unknown): string {
  if (typeof value === 'string') return `a text of ${value.length} characters`;
  return Array.isArray(value) ? `a list of ${value.length}` : typeof value;
}

function formatAllowed(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected;
    case 'invalid_value':
      return issue.values.map((value) => JSON.stringify(value)).join(', ');
    case 'too_small':
      return `${issue.inclusive === false ? 'more than' : 'at least'} ${issue.minimum}${formatUnit(issue.origin)}`;
    case 'too_big':
      return `at most ${issue.maximum}${formatUnit(issue.origin)}`;
    case 'invalid_union':
      return issue.discriminator ? `a known ${issue.discriminator}` : issue.message;
    case 'invalid_key':
      return `a key of ${issue.issues.map(({ message }) => message).join(', ')}`;
    default:
      return issue.message;
  }
}

function formatUnit(origin: string): string {
  if (origin === 'string') return ' characters';
  return origin === 'array' ? ' items' : '';
}
