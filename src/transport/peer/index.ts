export { isProof, makeProof } from './peerProof.ts';
export { makePeerNetwork } from './makePeerNetwork.ts';
export type { BoundPeerNetwork, PeerNetworkOptions } from './makePeerNetwork.ts';
