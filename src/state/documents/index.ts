export { formatProblem } from './DocumentProblem.ts';
export type { LoadResult, DocumentProblem } from './DocumentProblem.ts';
export { detectDocumentKind } from './detectDocumentKind.ts';
export type { DocumentKind } from './detectDocumentKind.ts';
export { loadBundle } from './loadBundle.ts';
export { loadEntrySettings } from './loadEntrySettings.ts';
export { minimumMoveDurationMs } from './validateBundle.ts';
export { loadDocument } from './loadDocument.ts';
