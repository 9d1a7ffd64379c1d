export { QuotaCache, type QuotaCacheOptions, type QuotaOutcome } from './QuotaCache.ts';
export { QuotaLedger } from './QuotaLedger.ts';
