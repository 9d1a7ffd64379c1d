export { listMoves } from './listMoves.ts';
export type { MoveRow, MoveListing } from './listMoves.ts';
export { MoveDrivers } from './MoveDrivers.ts';
export type { MoveDriverOptions } from './MoveDriver.ts';
export type { ReleaseMessage } from './VersionEvidence.ts';
