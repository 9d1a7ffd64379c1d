export type {
  ListResult,
  ObjectStore,
  StoredChange,
  StoredKind,
  StoredObject,
  StoreFailure,
  WatchResult,
  WriteResult,
} from './ObjectStore.ts';
export type {
  AnswerFields,
  CallerFields,
  ForwardFields,
  HeaderLines,
  WireAdapter,
} from './WireAdapter.ts';
