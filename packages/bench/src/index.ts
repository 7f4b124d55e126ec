export type { ChatTurn } from './load/chat-turn.js';
export { startTraffic } from './load/start-traffic.js';
export type { TrafficOptions } from './load/traffic-options.js';
