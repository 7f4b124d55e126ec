import { hasKey } from './has-key.js';

interface RoleKeys {
  peerKeys: readonly string[];
  operatorKeys: readonly string[];
}

/** Finds the role of a key; undefined for an unknown key. Both lists are always compared. */
export function findRole(
  { peerKeys, operatorKeys }: RoleKeys,
  presented: unknown,
): 'peer' | 'operator' | undefined {
  const key = typeof presented === 'string' ? presented : undefined;
  const isPeer = hasKey(peerKeys, key);
  const isOperator = hasKey(operatorKeys, key);
  if (isPeer) return 'peer';
  return isOperator ? 'operator' : undefined;
}
