import * as Schema from 'effect/Schema';
import { decodeJson } from '../decodeJson.ts';
import type { ObjectKind, StoredObject, WatchEvent } from './PlatformApi.ts';

/** Group and version of the system's own kinds in the object API. */
export const API_VERSION = 'corianderwick.dev/v1';

const HTTP_GONE = 410;

const PlatformObject = Schema.Struct({
  metadata: Schema.Struct({ name: Schema.NonEmptyString, resourceVersion: Schema.NonEmptyString }),
  spec: Schema.Unknown,
});

const PlatformList = Schema.Struct({
  items: Schema.Array(PlatformObject),
  metadata: Schema.Struct({ resourceVersion: Schema.NonEmptyString }),
});

const PlatformWatchEvent = Schema.Union([
  Schema.Struct({
    type: Schema.Literals(['ADDED', 'MODIFIED', 'DELETED']),
    object: PlatformObject,
  }),
  Schema.Struct({ type: Schema.Literal('BOOKMARK') }),
  Schema.Struct({
    type: Schema.Literal('ERROR'),
    object: Schema.Struct({ code: Schema.optionalKey(Schema.Int) }),
  }),
]);

const decodePlatformObject = decodeJson(PlatformObject);
const decodePlatformList = decodeJson(PlatformList);
const decodePlatformWatchEvent = decodeJson(PlatformWatchEvent);

const toStored = (kind: ObjectKind, object: typeof PlatformObject.Type): StoredObject => ({
  kind,
  name: object.metadata.name,
  resourceVersion: object.metadata.resourceVersion,
  value: object.spec,
});

/**
 * Reads one object.
 *
 * @param kind - its kind
 * @param text - JSON as the platform sent it
 * @returns undefined where it is unreadable
 */
export const decodeObject = (kind: ObjectKind, text: string): StoredObject | undefined => {
  const object = decodePlatformObject(text);
  return object && toStored(kind, object);
};

/**
 * Reads a listing.
 *
 * @param kind - kind of the listed objects
 * @param text - JSON as the platform sent it
 * @returns undefined where it is unreadable
 */
export const decodeList = (
  kind: ObjectKind,
  text: string,
): { readonly objects: readonly StoredObject[]; readonly resourceVersion: string } | undefined => {
  const list = decodePlatformList(text);
  return (
    list && {
      objects: list.items.map((item) => toStored(kind, item)),
      resourceVersion: list.metadata.resourceVersion,
    }
  );
};

/**
 * Reads one line of a watch.
 *
 * @param kind - kind of the watched objects
 * @param line - JSON as the platform sent it
 * @returns undefined for a bookmark, which only shows that the watch is alive
 */
export const decodeWatchLine = (kind: ObjectKind, line: string): WatchEvent | undefined => {
  const event = decodePlatformWatchEvent(line);
  if (!event) return { _tag: 'broken', detail: 'watch event is unreadable' };
  switch (event.type) {
    case 'ADDED':
    case 'MODIFIED':
      return { _tag: 'put', object: toStored(kind, event.object) };
    case 'DELETED':
      return { _tag: 'deleted', object: toStored(kind, event.object) };
    case 'BOOKMARK':
      return undefined;
    case 'ERROR':
      return event.object.code === HTTP_GONE
        ? { _tag: 'gone' }
        : { _tag: 'broken', detail: `watch error ${event.object.code ?? ''}` };
    default:
      return event satisfies never;
  }
};

/**
 * Words an object for a write.
 *
 * @param kind - its kind
 * @param namespace - namespace of the deployment
 * @param name - its name
 * @param value - its content
 * @param resourceVersion - version that it must still have, or undefined to create it
 * @returns the body to send
 */
export const encodeObject = (
  kind: ObjectKind,
  namespace: string,
  name: string,
  value: unknown,
  resourceVersion: string | undefined,
): unknown => ({
  apiVersion: API_VERSION,
  kind,
  metadata: { name, namespace, ...(resourceVersion !== undefined && { resourceVersion }) },
  spec: value,
});
