export {
  PoolScheduler,
  type PoolSchedulerOptions,
  type SchedulerInput,
  type SchedulerSnapshot,
} from './PoolScheduler.ts';
export type { RequestFinding } from './TicketBook.ts';
