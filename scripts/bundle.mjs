// Bundles each program into one file under bin/.
import {build} from 'esbuild';

const PROGRAMS = ['syc-entry', 'syc-control', 'syc', 'syc-report'];

await Promise.all(
  PROGRAMS.map(name =>
    build({
      entryPoints: [`apps/${name}/dist/main.js`],
      outfile: `bin/${name}.mjs`,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
      logLevel: 'warning',
      banner: {
        js: "import {createRequire as createBundleRequire} from 'node:module';const require=createBundleRequire(import.meta.url);",
      },
    }),
  ),
);
console.log(`bundled ${PROGRAMS.join(' ')}`);
