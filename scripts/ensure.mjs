// Installs the libraries and builds the workspace for the other scripts. Uses only modules of Node.js, so that the scripts
// work in a fresh clone.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, writeFileSync, readdirSync} from 'node:fs';
import {createHash} from 'node:crypto';
import path from 'node:path';

export const ROOT = path.resolve(import.meta.dirname, '..');
// Holds the digest of the package-lock.json that was installed last.
const MARKER = path.join(ROOT, 'node_modules', '.sycamorehead-lock');

export function run(command, args, options = {}) {
  const result = spawnSync(command, args, {
    cwd: ROOT,
    stdio: 'inherit',
    ...options,
  });
  return result.status ?? 1;
}

function digestLock() {
  const lock = readFileSync(path.join(ROOT, 'package-lock.json'));
  return createHash('sha256').update(lock).digest('hex');
}

function isInstalled() {
  if (!existsSync(MARKER)) return false;
  return readFileSync(MARKER, 'utf8') === digestLock();
}

export function ensureInstalled() {
  if (isInstalled()) return;
  console.log(
    'installing libraries (npm ci); a slow registry can take minutes',
  );
  const args = [
    'ci',
    '--no-audit',
    '--no-fund',
    '--ignore-scripts',
    '--loglevel=http',
  ];
  if (run('npm', args) !== 0) {
    console.error(
      'npm ci failed: the libraries in package-lock.json could not be installed. ' +
        'Check that the npm registry is reachable (npm ping) and run the command again.',
    );
    process.exit(1);
  }
  writeFileSync(MARKER, digestLock());
}

export function ensureBuilt() {
  console.log('building (tsc -b)');
  if (run('node', ['node_modules/typescript/bin/tsc', '-b']) !== 0) {
    console.error('the build failed: see the compiler errors above');
    process.exit(1);
  }
}

export function findTests(folder = ROOT) {
  const workspaces = ['packages', 'apps'].flatMap(top =>
    readdirSync(path.join(folder, top)).map(name => path.join(top, name)),
  );
  return [...workspaces, 'platform']
    .flatMap(workspace => findWorkspaceTests(folder, workspace))
    .sort();
}

function findWorkspaceTests(folder, workspace) {
  const dist = path.join(folder, workspace, 'dist');
  if (!existsSync(dist)) return [];
  return (
    readdirSync(dist, {recursive: true})
      .filter(file => file.endsWith('.test.js'))
      // Ignores compiled tests of an earlier build whose source no longer exists.
      .filter(file => {
        const source = file.replace(/\.js$/, '.ts');
        return existsSync(path.join(folder, workspace, 'src', source));
      })
      .map(file => path.join(workspace, 'dist', file))
  );
}
