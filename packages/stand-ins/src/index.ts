export { createFakeEngine } from './engine/create-fake-engine.js';
export type { FakeEngineOptions } from './engine/fake-engine-options.js';
