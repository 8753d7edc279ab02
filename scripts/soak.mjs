// Builds and bundles the platform's programs and runs the fault soak.
import {ensureBuilt, ensureInstalled} from './ensure.mjs';

ensureInstalled();
ensureBuilt();
await import('./bundlePlatform.mjs');
await import('../platform/dist/soak/main.js');
