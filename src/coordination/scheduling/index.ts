export {
  PoolScheduler,
  type PoolSchedulerOptions,
  type SchedulerConfiguration,
  type SchedulerSnapshot,
} from './PoolScheduler.ts';
export type { RequestFinding } from './TicketRegistry.ts';
