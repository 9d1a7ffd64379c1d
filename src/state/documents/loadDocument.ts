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
import type { ValueProblem, LoadResult, DocumentProblem } from './DocumentProblem.ts';

const PARSE_OPTIONS = { allowTrailingComma: true };

const formatPath = (path: readonly (string | number)[]): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? part : `${text}.${part}`;
  }, '');

const positionOf = (text: string, offset: number): { line: number; column: number } => {
  const before = text.slice(0, offset);
  return { line: before.split('\n').length, column: offset - before.lastIndexOf('\n') };
};

// A missing key has no node, so the problem is reported at the nearest enclosing value.
const findNearestNode = (root: Node, path: readonly (string | number)[]): Node => {
  const node = findNodeAtLocation(root, [...path]);
  if (node !== undefined || path.length === 0) return node ?? root;
  return findNearestNode(root, path.slice(0, -1));
};

const locateProblem = (text: string, root: Node, problem: ValueProblem): DocumentProblem => ({
  ...positionOf(text, findNearestNode(root, problem.path).offset),
  path: formatPath(problem.path),
  message: problem.message,
  suggestion: problem.suggestion,
});

const toSyntaxProblem = (text: string, error: ParseError): DocumentProblem => ({
  ...positionOf(text, error.offset),
  path: '',
  message: `not JSON with comments (${printParseErrorCode(error.error)})`,
  suggestion: 'correct the syntax at this position',
});

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

const toValueProblems = (issue: SchemaIssue.Issue): readonly ValueProblem[] =>
  formatIssue(issue).issues.map(({ path = [], message }) => {
    const parts = path.map((part) => {
      const key = typeof part === 'object' ? part.key : part;
      return typeof key === 'number' ? key : String(key);
    });
    return { path: parts, message, suggestion: suggestValue(parts, message) };
  });

/**
 * Parses a document of JSON with comments, decodes it with a schema and reports all problems.
 *
 * @param schema - schema of the document
 * @param text - the document
 * @param validate - finds further problems of a value that matches the schema
 * @param options - `onExcessProperty`: whether keys that the schema doesn't name are problems
 *   (`error`, the default) or ignored
 * @returns the value, or all problems with their positions
 */
export const loadDocument = <S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  text: string,
  validate: (value: S['Type']) => readonly ValueProblem[],
  { onExcessProperty = 'error' }: { readonly onExcessProperty?: 'error' | 'ignore' } = {},
): LoadResult<S['Type']> => {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, PARSE_OPTIONS);
  if (root === undefined || errors.length > 0) {
    const syntaxProblems = errors.map((error) => toSyntaxProblem(text, error));
    const emptyProblem = {
      line: 1,
      column: 1,
      path: '',
      message: 'the document is empty',
      suggestion: 'write an object',
    };
    return {
      _tag: 'invalid',
      problems: syntaxProblems.length > 0 ? syntaxProblems : [emptyProblem],
    };
  }
  const source: unknown = getNodeValue(root);
  const options = { errors: 'all', onExcessProperty } as const;
  const decoded = Schema.decodeUnknownResult(schema, options)(source);
  const problems = Result.isSuccess(decoded)
    ? validate(decoded.success)
    : toValueProblems(decoded.failure.issue);
  if (Result.isFailure(decoded) || problems.length > 0) {
    return {
      _tag: 'invalid',
      problems: problems.map((problem) => locateProblem(text, root, problem)),
    };
  }
  return { _tag: 'valid', value: decoded.success, source };
};
