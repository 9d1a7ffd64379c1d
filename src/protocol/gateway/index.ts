export type { CallerHolding, CallerMemory } from './CallerMemory.ts';
export { EndpointStatement } from './EndpointStatement.ts';
export {
  FORWARD_HEADER,
  ForwardEnvelope,
  decodeForwardEnvelope,
  encodeForwardEnvelope,
  isForwardLine,
} from './ForwardEnvelope.ts';
export type {
  ListResult,
  ObjectStore,
  StoreChange,
  StoreObjectKind,
  StoreObject,
  StoreFailure,
  StatusObjectKind,
  StatusStore,
  StatusWrite,
  StoreReader,
  StatusWriteResult,
  ListCall,
  WatchCall,
  WatchResult,
} from './ObjectStore.ts';
export { StorePosition, eraOf, formatPosition, makePosition, revisionOf } from './StorePosition.ts';
export type {
  DecodedResponseHeaders,
  DecodedRequestHeaders,
  AddedRequestHeaders,
  RawHeaders,
  WireAdapter,
} from './WireAdapter.ts';
