// Bundles the router program into one file, so that little has to be read and compiled at start-up.
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/router.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Resolves the packages to their sources, so that they need not be compiled first.
  alias: Object.fromEntries(
    readdirSync('packages', { withFileTypes: true })
      .filter((entry) => entry.isDirectory())
      .map(({ name }) => [`@vanillarelay/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  banner: {
    // Bundled CommonJS packages load Node's built-in modules with `require`, which ES modules lack.
    js: [
      "import { createRequire as createRequireHere } from 'node:module';",
      'const require = createRequireHere(import.meta.url);',
    ].join('\n'),
  },
});
