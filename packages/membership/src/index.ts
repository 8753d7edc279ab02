/** What an entry knows of its peers and of the backend servers. */
export {BackendServerDirectory} from './lib/BackendServerDirectory.js';
export type {KnownServer} from './lib/BackendServerDirectory.js';
export {PeerGossip} from './lib/PeerGossip.js';
export type {PeerGossipOptions} from './lib/PeerGossip.js';
