export { QuotaCache, type QuotaCacheOptions, type QuotaOutcome } from './QuotaCache.ts';
export { QuotaAllocator } from './QuotaLedger.ts';
