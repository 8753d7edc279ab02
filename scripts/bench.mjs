import {ROOT, ensureBuilt, ensureInstalled} from './ensure.mjs';
import path from 'node:path';

ensureInstalled();
ensureBuilt();
await import(path.join(ROOT, 'apps/syc-bench/dist/main.js'));
