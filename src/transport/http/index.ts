export { confirmServerRuns } from './confirmServerRuns.ts';
export { ConnectionPool } from './ConnectionPool.ts';
export type { ConnectionPoolOptions } from './ConnectionPool.ts';
export { EventCutter } from './EventCutter.ts';
export { exchange } from './exchange.ts';
export type { AnswerFraming, Exchange, ExchangeEvent, HttpRequest } from './exchange.ts';
export { makeConnectionPool } from './makeConnectionPool.ts';
export { requestWhole } from './requestWhole.ts';
export type { WholeOutcome, WholeRequest } from './requestWhole.ts';
