// Bundles the platform's program into one file, so that a start reads and compiles little.
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/router.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Sources instead of the compiled packages, so that nothing else has to be built first.
  alias: Object.fromEntries(
    readdirSync('packages', { withFileTypes: true })
      .filter((entry) => entry.isDirectory())
      .map(({ name }) => [`@vanillarelay/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  banner: {
    // Bundled packages in the older module format ask for Node's modules by `require`.
    js: [
      "import { createRequire as createRequireHere } from 'node:module';",
      'const require = createRequireHere(import.meta.url);',
    ].join('\n'),
  },
});
