export type {
  ListResult,
  ObjectStore,
  StoredChange,
  StoredKind,
  StoredObject,
  StoreFailure,
  WatchResult,
} from './ObjectStore.ts';
export type {
  AnswerFields,
  CallerFields,
  ForwardFields,
  HeaderLines,
  WireAdapter,
} from './WireAdapter.ts';
