/** Servers that fail and clients that overload on purpose, for the tests of all packages. */
export {CrowdProgram} from './CrowdProgram.js';
export {endWithProcess} from './endWithProcess.js';
export {EndlessServer} from './EndlessServer.js';
export type {EndlessAnswer, EndlessPace} from './EndlessServer.js';
export {buildNamedFields} from './HostileCrowd.js';
export type {CrowdOptions, HostileInput} from './HostileCrowd.js';
