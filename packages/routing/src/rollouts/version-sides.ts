import type { VersionUse } from './version-use.js';

/** How a request may use the endpoints of a version, and those of all others. */
export interface VersionSides {
  to: string;
  onTo: VersionUse;
  onOthers: VersionUse;
  /** Versions that were rolled back; they get no requests. */
  excluded: ReadonlySet<string>;
}
