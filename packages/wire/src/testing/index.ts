/** Servers that fail on purpose, for tests of the packages that read answers. */
export {EndlessServer} from './EndlessServer.js';
export type {EndlessAnswer, EndlessPace} from './EndlessServer.js';
