import { RelayError, ResultCode } from '@vanillarelay/core';
import { checkValue } from './check-value.js';
import { Settings } from './settings.js';

const allRoles: readonly Settings['role'][] = ['control', 'entry', 'agent'];

/**
 * Validates a JSON value as settings, of the given role if there is one; throws a `RelayError` that
 * lists every issue.
 */
export function checkSettings<R extends Settings['role']>(
  value: unknown,
  role?: R,
): Extract<Settings, { role: R }> {
  if (typeof value === 'object' && value !== null) checkRole(value, role ? [role] : allRoles);
  const settings = checkValue(Settings, value, ResultCode.invalidSettings);
  return settings as Extract<Settings, { role: R }>;
}

function checkRole(value: object, roles: readonly string[]): void {
  const role = 'role' in value ? value.role : undefined;
  if (roles.some((allowed) => allowed === role)) return;
  const found = role === undefined ? 'nothing' : JSON.stringify(role);
  const allowed = roles.map((name) => `"${name}"`).join(', ');
  throw new RelayError(ResultCode.invalidSettings, `role: got ${found}, allowed: ${allowed}`, {
    notRun: true,
  });
}
