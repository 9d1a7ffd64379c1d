import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';

/**
 * Makes a reader of JSON text by a schema.
 *
 * @param schema - what the text should hold
 * @returns a function that gives the value, or undefined where the text is unreadable
 */
export const makeJsonDecoder = <S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
): ((text: string) => S['Type'] | undefined) => {
  const decode = Schema.decodeUnknownResult(schema);
  return (text) => {
    try {
      const result = decode(JSON.parse(text));
      return Result.isSuccess(result) ? result.success : undefined;
    } catch {
      return undefined;
    }
  };
};
