// Bundles the platform's program into one file, so that a start reads and compiles little.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/router.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  alias: Object.fromEntries(
    ['core', 'control', 'config', 'routing', 'fleet', 'router', 'daemon'].map((name) => [
      `@vanillarelay/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  banner: { js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);" },
});
