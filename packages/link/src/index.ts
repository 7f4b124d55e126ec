export { applyFrame } from './apply-frame.js';
export type { Contact } from './contact.js';
export { createLink } from './create-link.js';
export type { FleetView } from './fleet-view.js';
export type { Link } from './link.js';
