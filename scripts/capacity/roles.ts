import { ASSUMPTIONS, BUDGET, STORE, TARGET } from './target.ts';
import type { SlopeName, Slopes } from './Slopes.ts';

/** A figure of a role at the target's size. */
export interface Figure {
  readonly what: string;
  /** Undefined where a cost that it needs was not measured. */
  readonly value: number | undefined;
  readonly unit: string;
  /** The most that it may be, where the target sets a bound. */
  readonly bound?: number;
  readonly formula: string;
}

/** One role with the mechanism that carries it. */
export interface Role {
  readonly name: string;
  readonly mechanism: string;
  readonly state: string;
  readonly figures: readonly Figure[];
  /** What would have to change where a figure is out of bounds. */
  readonly remedy: string;
}

const MB = 1_000_000;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

type Costs = (name: SlopeName) => number;

/** Works a figure out, or leaves it open where a cost is missing. */
const figure =
  (slopes: Slopes) =>
  (
    what: string,
    unit: string,
    formula: string,
    needs: readonly SlopeName[],
    compute: (cost: Costs) => number,
    bound?: number,
  ): Figure => ({
    what,
    unit,
    bound,
    formula,
    value: needs.every((name) => slopes[name] !== undefined)
      ? compute((name) => slopes[name]?.value ?? 0)
      : undefined,
  });

const requestsPerEntry = TARGET.requestsPerSecond / TARGET.entries;
const tokensPerEntry = TARGET.tokensPerSecond / TARGET.entries;
const pools = TARGET.models * TARGET.regions;
const requestsPerPool = TARGET.requestsPerSecond / pools;
const endpointsPerPool = TARGET.runners / pools;
const cells = Math.ceil(TARGET.runners / ASSUMPTIONS.endpointsPerCell);
const requestsPerCell = TARGET.requestsPerSecond / cells;
const entriesPerRegion = TARGET.entries / TARGET.regions;
const relays = TARGET.failureDomains * ASSUMPTIONS.relaysPerFailureDomain;
const requestsPerAccount = TARGET.requestsPerSecond / TARGET.accounts;
const quotaPerAccount = requestsPerAccount * ASSUMPTIONS.quotaRequestsPerRequest;

const bundleBytes = (cost: Costs): number =>
  cost('endpointMessageBytes') * TARGET.runners + cost('accountMessageBytes') * TARGET.accounts;

/**
 * Works out what each role takes at the target's size.
 *
 * @param slopes - measured costs
 * @returns the roles in the order of the page
 */
export const describeRoles = (slopes: Slopes): readonly Role[] => {
  const of = figure(slopes);
  return [
    {
      name: 'Caller path',
      mechanism: 'the home in each entry; callers spread themselves over entries',
      state: 'waiting, running and remembered requests',
      figures: [
        of(
          'processor time for requests',
          'ms/s',
          `${requestsPerEntry} requests/s × cost`,
          ['requestCpuUs'],
          (cost) => (requestsPerEntry * cost('requestCpuUs')) / US_PER_MS,
          MS_PER_SECOND,
        ),
        of(
          'processor time for tokens',
          'ms/s',
          `${tokensPerEntry} tokens/s × cost`,
          ['tokenCpuUs'],
          (cost) => (tokensPerEntry * cost('tokenCpuUs')) / US_PER_MS,
          MS_PER_SECOND,
        ),
        of(
          'memory for waiting and remembered requests',
          'MB',
          `${requestsPerEntry} requests/s × (${ASSUMPTIONS.waitSeconds} s waiting + ${ASSUMPTIONS.rememberSeconds} s remembered)`,
          ['waitingRequestBytes', 'rememberedRequestBytes'],
          (cost) =>
            (requestsPerEntry *
              (ASSUMPTIONS.waitSeconds * cost('waitingRequestBytes') +
                ASSUMPTIONS.rememberSeconds * cost('rememberedRequestBytes'))) /
            MB,
        ),
      ],
      remedy: 'pass tokens on in larger pieces, or without parsing each event',
    },
    {
      name: "Pool's scheduler, one a pool",
      mechanism: 'rendezvous hashing picks one entry for each model and region',
      state: `one queue, ${Math.round(endpointsPerPool)} endpoints`,
      figures: [
        of(
          'processor time',
          'ms/s',
          `${Math.round(requestsPerPool)} reservations/s × cost`,
          ['reservationCpuUs'],
          (cost) => (requestsPerPool * cost('reservationCpuUs')) / US_PER_MS,
          BUDGET.cpuMsPerSecond,
        ),
        of(
          'bytes',
          'bytes/s',
          `${Math.round(requestsPerPool)} reservations/s × bytes`,
          ['reservationBytes'],
          (cost) => requestsPerPool * cost('reservationBytes'),
          BUDGET.bytesPerSecond,
        ),
      ],
      remedy: 'divide pools into cells (next row); cells are not built',
    },
    {
      name: `Cell's scheduler, ${ASSUMPTIONS.endpointsPerCell} endpoints (not built)`,
      mechanism: 'the same scheduler for a part of a pool; homes choose a cell',
      state: `one queue, ${ASSUMPTIONS.endpointsPerCell} endpoints; ${cells} cells`,
      figures: [
        of(
          'processor time',
          'ms/s',
          `${Math.round(requestsPerCell)} reservations/s × cost`,
          ['reservationCpuUs'],
          (cost) => (requestsPerCell * cost('reservationCpuUs')) / US_PER_MS,
          BUDGET.cpuMsPerSecond,
        ),
        of(
          'bytes',
          'bytes/s',
          `${Math.round(requestsPerCell)} reservations/s × bytes`,
          ['reservationBytes'],
          (cost) => requestsPerCell * cost('reservationBytes'),
          BUDGET.bytesPerSecond,
        ),
      ],
      remedy:
        'lend slots ahead in batches, so that a reservation is not sent for each request; reservations of one home to one scheduler already share messages',
    },
    {
      name: 'Account owner',
      mechanism: 'rendezvous hashing picks one entry for each account; homes draw batches',
      state: 'one budget an account',
      figures: [
        of(
          'processor time',
          'ms/s',
          `${quotaPerAccount.toFixed(1)} quota requests/s × cost`,
          ['quotaCpuUs'],
          (cost) => (quotaPerAccount * cost('quotaCpuUs')) / US_PER_MS,
          BUDGET.cpuMsPerSecond,
        ),
        of(
          'bytes',
          'bytes/s',
          `${quotaPerAccount.toFixed(1)} quota requests/s × bytes`,
          ['quotaBytes'],
          (cost) => quotaPerAccount * cost('quotaBytes'),
          BUDGET.bytesPerSecond,
        ),
      ],
      remedy: 'larger batches for large accounts; a share a region for accounts in many regions',
    },
    {
      name: 'Membership',
      mechanism: 'SWIM-style probes; one digest a second to a random peer',
      state: `${entriesPerRegion} members in a region's view, ${TARGET.entries} in one for all`,
      figures: [
        of(
          'bytes',
          'bytes/s',
          `idle bytes + growth × ${TARGET.entries}`,
          ['controlBytesPerSecond', 'controlBytesPerSecondPerMember'],
          (cost) =>
            cost('controlBytesPerSecond') + cost('controlBytesPerSecondPerMember') * TARGET.entries,
          BUDGET.bytesPerSecond,
        ),
        of(
          'processor time',
          'ms/s',
          `idle time + growth × ${TARGET.entries}`,
          ['idleCpuMsPerSecond', 'idleCpuMsPerSecondPerMember'],
          (cost) =>
            cost('idleCpuMsPerSecond') + cost('idleCpuMsPerSecondPerMember') * TARGET.entries,
          BUDGET.cpuMsPerSecond,
        ),
        of(
          'memory of the view',
          'MB',
          `${TARGET.entries} members × bytes`,
          ['memberBytes'],
          (cost) => (TARGET.entries * cost('memberBytes')) / MB,
        ),
      ],
      remedy: 'one view a region, as pools are scheduled within regions',
    },
    {
      name: 'Configuration',
      mechanism: 'relays push to their failure domain; others pull after a digest',
      state: 'one bundle',
      figures: [
        of(
          'size of one bundle',
          'MB',
          `${TARGET.runners} endpoints and ${TARGET.accounts} accounts`,
          ['endpointMessageBytes', 'accountMessageBytes'],
          (cost) => bundleBytes(cost) / MB,
          STORE.valueBytes / MB,
        ),
        of(
          'bytes an entry takes',
          'bytes/s',
          `bundle × ${TARGET.changesPerSecond.toFixed(3)} changes/s`,
          ['endpointMessageBytes', 'accountMessageBytes'],
          (cost) => bundleBytes(cost) * TARGET.changesPerSecond,
          BUDGET.bytesPerSecond,
        ),
        of(
          'processor time',
          'ms/s',
          `bundle × ${TARGET.changesPerSecond.toFixed(3)} changes/s × cost a MB`,
          ['endpointMessageBytes', 'accountMessageBytes', 'configurationCpuMsPerMb'],
          (cost) =>
            (bundleBytes(cost) / MB) * TARGET.changesPerSecond * cost('configurationCpuMsPerMb'),
          BUDGET.cpuMsPerSecond,
        ),
        of(
          'memory',
          'MB',
          'endpoints and accounts × bytes',
          ['endpointBytes', 'accountBytes'],
          (cost) =>
            (TARGET.runners * cost('endpointBytes') + TARGET.accounts * cost('accountBytes')) / MB,
        ),
      ],
      remedy:
        'a bundle a region and pool instead of one for all, and changes sent as differences; neither is built',
    },
    {
      name: 'Relay and store',
      mechanism: `${ASSUMPTIONS.relaysPerFailureDomain} relays a failure domain hold the watches; jittered return`,
      state: `${relays} relays`,
      figures: [
        of(
          'store calls while nothing changes',
          'calls/s',
          `${relays} relays × calls`,
          ['relayStoreCallsPerSecond'],
          (cost) => relays * cost('relayStoreCallsPerSecond'),
          STORE.readsPerSecond,
        ),
        of(
          'store calls for rolls',
          'calls/s',
          `${TARGET.changesPerSecond.toFixed(3)} rolls/s × calls`,
          ['rollStoreCalls'],
          (cost) => TARGET.changesPerSecond * cost('rollStoreCalls'),
          STORE.readsPerSecond,
        ),
        {
          what: 'calls as the store returns: a list and a watch for each kind',
          value: relays * 3 * 2,
          unit: 'calls, spread over the jitter',
          bound: STORE.readsPerSecond,
          formula: `${relays} relays × 3 kinds × 2`,
        },
      ],
      remedy: 'none needed within these bounds',
    },
    {
      name: 'Move driver',
      mechanism: "the pool's scheduler, under a lease with a fencing number",
      state: 'evidence by version, route and load band',
      figures: [
        of(
          'store calls of all drivers',
          'calls/s',
          `${ASSUMPTIONS.movesUnderWay} moves × calls`,
          ['driverStoreCallsPerSecond'],
          (cost) => ASSUMPTIONS.movesUnderWay * cost('driverStoreCallsPerSecond'),
          STORE.writesPerSecond,
        ),
      ],
      remedy: 'none needed within these bounds',
    },
    {
      name: 'Whole entry, idle',
      mechanism: 'one process, one thread',
      state: '',
      figures: [
        of(
          'resident memory',
          'MB',
          'idle memory + view + configuration + requests',
          [
            'idleMemoryMb',
            'memberBytes',
            'endpointBytes',
            'accountBytes',
            'waitingRequestBytes',
            'rememberedRequestBytes',
          ],
          (cost) =>
            cost('idleMemoryMb') +
            (TARGET.entries * cost('memberBytes') +
              TARGET.runners * cost('endpointBytes') +
              TARGET.accounts * cost('accountBytes') +
              requestsPerEntry *
                (cost('waitingRequestBytes') * ASSUMPTIONS.waitSeconds +
                  cost('rememberedRequestBytes') * ASSUMPTIONS.rememberSeconds)) /
              MB,
          BUDGET.memoryMb,
        ),
      ],
      remedy: 'keep only the own region in memory',
    },
  ];
};
