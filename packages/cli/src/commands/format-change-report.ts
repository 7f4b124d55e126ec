import { formatList } from '../format/format-list.js';
import type { ChangeReport } from './change-report.js';

/** Formats a change in two lines: whether it is accepted and whether it is in force. */
export function formatChangeReport(report: ChangeReport): string {
  const { changeId, index, configVersion, inForce, daemons, behind } = report;
  const accepted = `accepted: yes, state version ${index}, configuration version ${configVersion}, change id ${changeId}`;
  const inForceText = inForce
    ? `in force: yes, at all ${daemons} daemons`
    : `in force: not yet, ${daemons - behind.length} of ${daemons} daemons; waiting for ${formatList(behind)}`;
  return `${accepted}\n${inForceText}`;
}
