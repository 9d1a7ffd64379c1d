/** A soak that broke a promise once. Its plan follows from the seed, the time and the size. */
export interface SoakRegression {
  readonly seed: number;
  readonly gateways: number;
  readonly minutes: number;
  readonly cause: string;
}

/** Every seed that ever failed; `npm run soak -- --regressions` plays them again. */
export const REGRESSIONS: readonly SoakRegression[] = [
  { seed: 2, gateways: 4, minutes: 0.25, cause: 'a SIGHUP ended a process that still started' },
  { seed: 5, gateways: 4, minutes: 0.25, cause: 'a SIGHUP ended a process that still started' },
  { seed: 6, gateways: 4, minutes: 0.25, cause: 'a SIGHUP ended a process that still started' },
  {
    seed: 3,
    gateways: 4,
    minutes: 0.25,
    cause: 'tickets restated to a new scheduler were not counted against their quota',
  },
  {
    seed: 4,
    gateways: 4,
    minutes: 0.25,
    cause: 'tickets restated to a new scheduler were not counted against their quota',
  },
  {
    seed: 102,
    gateways: 5,
    minutes: 0.25,
    cause: 'tickets restated to a new scheduler were not counted against their quota',
  },
  {
    seed: 103,
    gateways: 5,
    minutes: 0.25,
    cause: 'tickets restated to a new scheduler were not counted against their quota',
  },
  {
    seed: 401,
    gateways: 7,
    minutes: 0.25,
    cause: 'a process that others took for the scheduler gave out of a bucket that was full',
  },
  {
    seed: 104,
    gateways: 5,
    minutes: 0.25,
    cause: 'a process whose metrics port was taken waited for it without a word',
  },
  {
    seed: 204,
    gateways: 5,
    minutes: 0.25,
    cause: 'the check took the 503 of a process without a configuration for a known version',
  },
  {
    seed: 306,
    gateways: 6,
    minutes: 0.25,
    cause: 'the check took the 503 of a process without a configuration for a known version',
  },
  {
    seed: 517,
    gateways: 5,
    minutes: 0.2,
    cause: 'open: a one-way cut makes gateways take tickets for counted that never arrived',
  },
  {
    seed: 570,
    gateways: 5,
    minutes: 0.2,
    cause: 'open: a one-way cut makes gateways take tickets for counted that never arrived',
  },
];
