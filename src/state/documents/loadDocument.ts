import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import * as SchemaIssue from 'effect/SchemaIssue';
import {
  findNodeAtLocation,
  parseTree,
  getNodeValue,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import { suggestValue } from './suggestValue.ts';
import type { ValueProblem, Loaded, DocumentProblem } from './Problem.ts';

const PARSE_OPTIONS = { allowTrailingComma: true };

const formatPath = (path: readonly (string | number)[]): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? part : `${text}.${part}`;
  }, '');

const placeOf = (text: string, offset: number): { line: number; column: number } => {
  const before = text.slice(0, offset);
  return { line: before.split('\n').length, column: offset - before.lastIndexOf('\n') };
};

// A missing key has no node of its own, so the nearest enclosing value is pointed at.
const nodeAt = (root: Node, path: readonly (string | number)[]): Node => {
  const node = findNodeAtLocation(root, [...path]);
  if (node !== undefined || path.length === 0) return node ?? root;
  return nodeAt(root, path.slice(0, -1));
};

const locate = (text: string, root: Node, finding: ValueProblem): DocumentProblem => ({
  ...placeOf(text, nodeAt(root, finding.path).offset),
  path: formatPath(finding.path),
  message: finding.message,
  suggestion: finding.suggestion,
});

const syntaxProblem = (text: string, error: ParseError): DocumentProblem => ({
  ...placeOf(text, error.offset),
  path: '',
  message: `not JSON with comments (${printParseErrorCode(error.error)})`,
  suggestion: 'correct the text at this place',
});

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

const findingsOf = (issue: SchemaIssue.Issue): readonly ValueProblem[] =>
  formatIssue(issue).issues.map(({ path = [], message }) => {
    const parts = path.map((part) => {
      const key = typeof part === 'object' ? part.key : part;
      return typeof key === 'number' ? key : String(key);
    });
    return { path: parts, message, suggestion: suggestValue(parts, message) };
  });

/**
 * Reads a document of JSON with comments by its schema and reports everything that is wrong with it.
 *
 * @param schema - what the document must look like
 * @param text - the document
 * @param review - further problems of a value that fits the schema
 * @param options - `onExcessProperty`: whether keys that the schema doesn't name are problems, as
 *   they are unless stated otherwise
 * @returns the value, or all problems with their places
 */
export const loadDocument = <S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  text: string,
  review: (value: S['Type']) => readonly ValueProblem[],
  { onExcessProperty = 'error' }: { readonly onExcessProperty?: 'error' | 'ignore' } = {},
): Loaded<S['Type']> => {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, PARSE_OPTIONS);
  if (root === undefined || errors.length > 0) {
    const found = errors.map((error) => syntaxProblem(text, error));
    const empty = { line: 1, column: 1, path: '', message: 'empty', suggestion: 'write an object' };
    return { _tag: 'invalid', problems: found.length > 0 ? found : [empty] };
  }
  const source: unknown = getNodeValue(root);
  const options = { errors: 'all', onExcessProperty } as const;
  const decoded = Schema.decodeUnknownResult(schema, options)(source);
  const findings = Result.isSuccess(decoded)
    ? review(decoded.success)
    : findingsOf(decoded.failure.issue);
  if (Result.isFailure(decoded) || findings.length > 0) {
    return { _tag: 'invalid', problems: findings.map((finding) => locate(text, root, finding)) };
  }
  return { _tag: 'valid', value: decoded.success, source };
};
