// Bundles the programs for the users' platform into target/, directly from the TypeScript sources. A program that starts
// meanwhile finds the old bundle or the new one.
import {mkdirSync, renameSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {ensureInstalled} from './ensure.mjs';

const ROOT = path.resolve(import.meta.dirname, '..');
const SCOPE = '@sycamorehead/';

ensureInstalled();
const {build} = await import('esbuild');

/** Resolves the packages of this workspace to their sources, so that no build is needed first. */
const workspaceSources = {
  name: 'workspace-sources',
  setup(builder) {
    builder.onResolve({filter: /^@sycamorehead\//}, ({path: name}) => ({
      path: path.join(
        ROOT,
        'packages',
        name.slice(SCOPE.length),
        'src/index.ts',
      ),
      sideEffects: false,
    }));
  },
};

const {outputFiles} = await build({
  entryPoints: {
    entry: path.join(ROOT, 'platform/src/mainEntry.ts'),
    control: path.join(ROOT, 'platform/src/mainControl.ts'),
  },
  outdir: path.join(ROOT, 'target'),
  outExtension: {'.js': '.mjs'},
  write: false,
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  plugins: [workspaceSources],
  banner: {
    js: "import {createRequire as createBundleRequire} from 'node:module';const require=createBundleRequire(import.meta.url);",
  },
});
for (const {path: file, contents} of outputFiles) {
  const unfinished = `${file}.${process.pid}.tmp`;
  mkdirSync(path.dirname(file), {recursive: true});
  writeFileSync(unfinished, contents);
  renameSync(unfinished, file);
}
console.log('bundled the platform programs');
