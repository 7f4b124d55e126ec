export { createAgent } from './create-agent.js';
export { createPointerTable } from './directory/create-pointer-table.js';
