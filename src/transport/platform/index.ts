export { makePlatformClient } from './makePlatformClient.ts';
