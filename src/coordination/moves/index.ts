export { listMoves } from './listMoves.ts';
export type { MoveRow, MoveRows } from './listMoves.ts';
