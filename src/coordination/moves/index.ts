export { listMoves } from './listMoves.ts';
export type { MoveRow, MoveRows } from './listMoves.ts';
export { MoveDrivers } from './MoveRuns.ts';
export type { MoveOptions } from './MoveRun.ts';
export type { Release } from './Evidence.ts';
