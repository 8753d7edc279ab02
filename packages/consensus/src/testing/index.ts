/** Fakes of disk, network and clock, for tests of this package and of those that use it. */
export {DISK_WRITES, FakeDisk} from './FakeDisk.js';
export type {DiskFault, DiskWrite} from './FakeDisk.js';
export {FakeGroup} from './FakeGroup.js';
export type {FakeGroupOptions, FakeInstance} from './FakeGroup.js';
export {FakeNetwork, NO_FAULTS} from './FakeNetwork.js';
export type {FakeEndpoint, NetworkFaults} from './FakeNetwork.js';
export {PausedClock} from './PausedClock.js';
export {RecordingMachine} from './RecordingMachine.js';
export type {AppliedCommand} from './RecordingMachine.js';
