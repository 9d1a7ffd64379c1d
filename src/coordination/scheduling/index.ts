export {
  PoolScheduler,
  type PoolSchedulerOptions,
  type SchedulerInput,
  type SchedulerSnapshot,
} from './PoolScheduler.ts';
export type { Finding } from './TicketBook.ts';
