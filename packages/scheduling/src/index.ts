export type { WorkReports } from './backlog/work-reports.js';
