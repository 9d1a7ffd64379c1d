export { startService } from './startService.ts';
export type { FakeService, ServiceFaults, ServiceOptions, ServiceStats } from './startService.ts';
