/**
 * A mechanism that a scenario can disable, to show that the scenario fails without it. The router
 * has no such setting: the in-process fleet passes in replacements instead.
 */
export type Mechanism =
  | 'claims'
  | 'voids'
  | 'takeOut'
  | 'contact'
  | 'sync'
  | 'loadBound'
  | 'coldLimit'
  | 'drain'
  | 'draining'
  | 'streamEnd'
  | 'marks';
