// `npm run report -- --demo` writes the report of a demo run; without --demo, this runs syc-report.
import {ROOT, ensureBuilt, ensureInstalled} from './ensure.mjs';
import path from 'node:path';

ensureInstalled();
ensureBuilt();
const isDemo = process.argv.includes('--demo');
if (isDemo) process.argv.splice(2, process.argv.length, 'report-demo');
const program = isDemo ? 'syc-bench' : 'syc-report';
await import(path.join(ROOT, `apps/${program}/dist/main.js`));
