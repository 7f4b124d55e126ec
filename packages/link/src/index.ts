export { applyFrame } from './apply-frame.js';
export { computeContact } from './compute-contact.js';
export type { ContactEvidence } from './contact-evidence.js';
export type { Contact } from './contact.js';
export type { ControlNode } from './control-node.js';
export { createLink } from './create-link.js';
export { createProposer } from './create-proposer.js';
export type { FleetView } from './fleet-view.js';
export type { Link } from './link.js';
