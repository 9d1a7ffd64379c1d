export { startPlatform } from './startPlatform.ts';
export type {
  FakePlatform,
  PlatformCounts,
  PlatformFaults,
  PlatformObject,
  PlatformOptions,
} from './startPlatform.ts';
