export { createAgent } from './create-agent.js';
