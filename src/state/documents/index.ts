export { formatProblem } from './Problem.ts';
export type { Loaded, DocumentProblem } from './Problem.ts';
export { findDocumentKind } from './findDocumentKind.ts';
export type { DocumentKind } from './findDocumentKind.ts';
export { loadBundle } from './loadBundle.ts';
export { loadSettings } from './loadSettings.ts';
export { leastDurationMs } from './reviewBundle.ts';
export { loadDocument } from './loadDocument.ts';
