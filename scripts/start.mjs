import {ROOT, ensureBuilt, ensureInstalled} from './ensure.mjs';
import path from 'node:path';

ensureInstalled();
ensureBuilt();
process.argv.splice(2, 0, 'demo');
await import(path.join(ROOT, 'apps/syc-bench/dist/main.js'));
