/** Stand-ins for the systems around the router, for development and tests only. */
export {Announcer} from './lib/Announcer.js';
export type {AnnouncementSource, AnnouncerOptions} from './lib/Announcer.js';
export {EngineBatch} from './lib/EngineBatch.js';
export type {EngineJob, EngineSpeed} from './lib/EngineBatch.js';
export {NO_FAULTS} from './lib/engineFaults.js';
export type {EngineFaults} from './lib/engineFaults.js';
export {StandInEngine} from './lib/StandInEngine.js';
export type {EngineRun, StandInEngineOptions} from './lib/StandInEngine.js';
export type {EngineOrder} from './lib/EngineVersions.js';
export {StandInService} from './lib/StandInService.js';
export type {
  ServiceFaults,
  ServiceRun,
  StandInServiceOptions,
} from './lib/StandInService.js';
export {StandInRatingService} from './lib/StandInRatingService.js';
export type {
  RatingRequest,
  StandInRatingServiceOptions,
} from './lib/StandInRatingService.js';
export {StandInWeightStore} from './lib/StandInWeightStore.js';
export type {StandInWeightStoreOptions} from './lib/StandInWeightStore.js';
export {StandInServer, sendJson} from './lib/StandInServer.js';
export type {StandInHandler} from './lib/StandInServer.js';
