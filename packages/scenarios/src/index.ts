export { createFakeDisk } from './fakes/create-fake-disk.js';
export { createFakeNetwork } from './fakes/create-fake-network.js';
export { createSeededRandom } from './fakes/create-seeded-random.js';
export { createVirtualClock } from './fakes/create-virtual-clock.js';
export type { VirtualClock } from './fakes/virtual-clock.js';
export type { VirtualProcess } from './fakes/virtual-process.js';
export { wrapProcessDisk } from './fakes/wrap-process-disk.js';
