/** Entry of a fleet with declared routes. */
export {Gateway} from './lib/Gateway.js';
export type {GatewayOptions} from './lib/Gateway.js';
export type {GatewayPolicies} from './lib/gatewayTypes.js';
export type {HeaderNames} from './lib/headerNames.js';
export {DEFAULT_HEADERS} from './lib/defaultHeaders.js';
export {AnswerTimes} from './lib/AnswerTimes.js';
export {Placement} from './lib/Placement.js';
export type {PlacementRequest, SlotReservation} from './lib/Placement.js';
export {ServerTable} from './lib/ServerTable.js';
export {VersionSplit} from './lib/VersionSplit.js';
