import type { RouteTable } from '../RouteTable.ts';
import { reviewRouteTable, type ReviewFinding } from './reviewRouteTable.ts';

/**
 * Reviews a configuration that is to replace the one in force. Gateways apply only a higher version.
 *
 * @param before - the configuration in force
 * @param after - the configuration that is to replace it
 * @returns the findings; empty if there are none
 */
export const reviewSuccessor = (
  before: RouteTable,
  after: RouteTable,
): readonly ReviewFinding[] => {
  const findings = reviewRouteTable(after);
  if (after.version > before.version) return findings;
  const message = `${after.version} isn't above ${before.version}, which is in force, so that gateways ignore it`;
  return [{ severity: 'error', place: 'version', message }, ...findings];
};
