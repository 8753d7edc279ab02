/** Membership: what an entry knows about the other entries and about the backend servers. */
export {BackendServerDirectory} from './lib/BackendServerDirectory.js';
export type {KnownServer, ReceiveResult} from './lib/BackendServerDirectory.js';
export {PeerGossip} from './lib/PeerGossip.js';
export type {AnnouncementAnswer, PeerGossipOptions} from './lib/PeerGossip.js';
export {PEER_LINK_TIMEOUTS, PeerLinks} from './lib/PeerLinks.js';
export type {EntryMember, PeerLinksOptions, PeerSet} from './lib/PeerLinks.js';
export {chooseSubset} from './lib/chooseSubset.js';
export type {FactDelta} from './lib/serverFacts.js';
