import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';

/**
 * Makes a decoder that parses JSON text and validates it against a schema. The decoder never throws.
 *
 * @param schema - schema of the decoded value
 * @returns a function that returns the decoded value, or undefined if the text isn't valid JSON or
 *   doesn't match the schema
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
