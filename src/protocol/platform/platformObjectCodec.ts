import * as Schema from 'effect/Schema';
import { makeJsonDecoder } from '../makeJsonDecoder.ts';
import type { ObjectKind, StoredObject, WatchEvent } from './PlatformApi.ts';

/** API group and version of corianderwick's object kinds. */
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

const decodePlatformObject = makeJsonDecoder(PlatformObject);
const decodePlatformList = makeJsonDecoder(PlatformList);
const decodePlatformWatchEvent = makeJsonDecoder(PlatformWatchEvent);

const toStoredObject = (kind: ObjectKind, object: typeof PlatformObject.Type): StoredObject => ({
  kind,
  name: object.metadata.name,
  resourceVersion: object.metadata.resourceVersion,
  value: object.spec,
});

/**
 * Decodes an object.
 *
 * @param kind - kind of the object
 * @param text - JSON as the platform sent it
 * @returns the object, or undefined if the text is invalid
 */
export const decodeObject = (kind: ObjectKind, text: string): StoredObject | undefined => {
  const object = decodePlatformObject(text);
  return object && toStoredObject(kind, object);
};

/**
 * Decodes a listing.
 *
 * @param kind - kind of the listed objects
 * @param text - JSON as the platform sent it
 * @returns the objects and the collection's version, or undefined if the text is invalid
 */
export const decodeList = (
  kind: ObjectKind,
  text: string,
): { readonly objects: readonly StoredObject[]; readonly resourceVersion: string } | undefined => {
  const list = decodePlatformList(text);
  return (
    list && {
      objects: list.items.map((item) => toStoredObject(kind, item)),
      resourceVersion: list.metadata.resourceVersion,
    }
  );
};

/**
 * Decodes an event of a watch.
 *
 * @param kind - kind of the watched objects
 * @param text - one line of JSON as the platform sent it
 * @returns the event, `broken` if the text is invalid, or undefined for a bookmark, which only shows
 *   that the watch is alive
 */
export const decodeWatchEvent = (kind: ObjectKind, text: string): WatchEvent | undefined => {
  const event = decodePlatformWatchEvent(text);
  if (!event) return { _tag: 'broken', detail: 'watch event could not be decoded' };
  switch (event.type) {
    case 'ADDED':
    case 'MODIFIED':
      return { _tag: 'put', object: toStoredObject(kind, event.object) };
    case 'DELETED':
      return { _tag: 'deleted', object: toStoredObject(kind, event.object) };
    case 'BOOKMARK':
      return undefined;
    case 'ERROR':
      return event.object.code === HTTP_GONE
        ? { _tag: 'gone' }
        : { _tag: 'broken', detail: `platform reported watch error ${event.object.code ?? ''}` };
    default:
      return event satisfies never;
  }
};

/**
 * Builds the body of a request that creates or replaces an object.
 *
 * @param kind - kind of the object
 * @param namespace - namespace of the deployment
 * @param name - name of the object
 * @param value - content of the object
 * @param resourceVersion - version that the object must have, or undefined to create it
 * @returns the body to send as JSON
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
