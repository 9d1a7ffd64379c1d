import type { FleetStats } from '../../test/fakes/FakeFleet.ts';
import type { LogLine } from './EntryProcess.ts';
import { sum } from './Report.ts';
import type { StandIns } from './StandIns.ts';
import type { LoadRecord } from './runLoad.ts';

/** Reasons by which a request is shed rather than one that no endpoint could do in its time. */
const SHEDDING = ['overloaded', 'deadline_passed'];

/** Counts refusals of a higher tier while lower-tier work of its pool waited or ran. */
export const countInversions = (log: readonly LogLine[]): number =>
  log.filter(
    ({ decision, reason, lowerTierWaiting, lowerTierRunning }) =>
      decision === 'refused' &&
      SHEDDING.includes(String(reason)) &&
      Number(lowerTierWaiting) + Number(lowerTierRunning) > 0,
  ).length;

/** Share of prefill that engines spent on requests that were then cancelled or failed. */
export const wastedPrefill = ({ engines }: FleetStats): number =>
  sum(engines.map((engine) => engine.wastedPrefillTokens)) /
  Math.max(1, sum(engines.map((engine) => engine.prefillTokens)));

/** What the stand-ins say about the outcomes that callers were told. */
export interface Truth {
  /** Ids that were dispatched more than once. */
  readonly doubled: number;
  /** Requests told "not run" that an endpoint had got. */
  readonly falseNotRun: readonly string[];
  readonly unknown: number;
  readonly wrong: number;
}

/** Compares what callers were told with what the stand-ins saw. */
export const compareWithStandIns = async (
  records: readonly LoadRecord[],
  standIns: StandIns,
): Promise<Truth> => {
  const ids = records.map(({ outcome }) => outcome.id);
  const arrivals = await standIns.arrivals(ids);
  return {
    doubled: arrivals.filter((count) => count > 1).length,
    falseNotRun: ids.filter(
      (_, index) => records[index]?.outcome._tag === 'notRun' && (arrivals[index] ?? 0) > 0,
    ),
    unknown: records.filter(({ outcome }) => outcome._tag === 'unknown').length,
    wrong: records.filter(({ wrong }) => wrong).length,
  };
};

/** Requests completed whole and in time, as a share of those offered. */
export const goodShare = (records: readonly LoadRecord[]): number =>
  records.filter(({ good }) => good).length / Math.max(1, records.length);

/** Counts of how requests ended, for a table's last column. */
export const describeEnds = (records: readonly LoadRecord[]): string => {
  const counts = new Map<string, number>();
  records.forEach(({ outcome, good }) => {
    const late = outcome._tag === 'completed' && !good ? 'late or failed' : 'completed';
    const end = outcome._tag === 'completed' ? late : `${outcome._tag} ${outcome.code}`;
    counts.set(end, (counts.get(end) ?? 0) + 1);
  });
  return [...counts].map(([end, count]) => `${end} ${count}`).join(', ');
};
