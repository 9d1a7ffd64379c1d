export { ConfigurationBoard } from './ConfigurationBoard.ts';
export type { BoardIdentity, ConfigurationSource } from './ConfigurationBoard.ts';
export { isRelay } from './isRelay.ts';
export { readRoll } from './readRoll.ts';
export { runRelay } from './runRelay.ts';
export type { RelayOptions } from './runRelay.ts';
