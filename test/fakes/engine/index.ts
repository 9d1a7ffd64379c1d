export { startEngine } from './startEngine.ts';
export type { EngineOptions, FakeEngine } from './startEngine.ts';
export type { EngineFaults, VersionFault } from './EngineFaults.ts';
export type { EngineStats, VersionStats } from './EngineStats.ts';
