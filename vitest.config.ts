import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const packagesFolder = fileURLToPath(new URL('./packages/', import.meta.url));

const platformFolder = fileURLToPath(new URL('./platform/', import.meta.url));

/** Tests import the packages' sources, so that they need no build. */
export default defineConfig({
  resolve: {
    alias: [
      { find: '@vanillarelay/platform', replacement: `${platformFolder}src/index.ts` },
      { find: /^@vanillarelay\/([a-z-]+)$/, replacement: `${packagesFolder}$1/src/index.ts` },
    ],
  },
  test: {
    include: ['packages/*/__tests__/**/*.test.ts', 'platform/__tests__/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
    minWorkers: 1,
  },
});
