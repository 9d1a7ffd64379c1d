import { readFileSync } from 'node:fs';
import * as Schema from 'effect/Schema';

/** One measured cost per unit of something, with the spread of its fit in the same unit. */
export const Slope = Schema.Struct({
  value: Schema.Finite,
  error: Schema.optionalKey(Schema.Finite),
  /** Command that gave the figure. */
  run: Schema.NonEmptyString,
});
export type Slope = typeof Slope.Type;

const optional = Schema.optionalKey(Slope);

/** What the arithmetic needs. A cost that was not measured is left out, never guessed. */
export const Slopes = Schema.Struct({
  /** Processor time of an entry for one short request, µs, the stand-in excluded. */
  requestCpuUs: optional,
  /** Processor time of an entry for one generated token of a stream, µs. */
  tokenCpuUs: optional,
  /** Processor time of a scheduler for one reservation with its grant and release, µs. */
  reservationCpuUs: optional,
  /** Bytes on the link between a home and another entry's scheduler for one request. */
  reservationBytes: optional,
  /** Processor time of an account's owner for one quota request, µs. */
  quotaCpuUs: optional,
  /** Bytes for one quota request and its reply. */
  quotaBytes: optional,
  /** Control bytes sent and received a second by an idle entry, membership and digests. */
  controlBytesPerSecond: optional,
  /** Growth of that with each further entry, bytes a second. */
  controlBytesPerSecondPerMember: optional,
  /** Processor time of an idle entry, ms a second. */
  idleCpuMsPerSecond: optional,
  /** Growth of that with each further entry, ms a second. */
  idleCpuMsPerSecondPerMember: optional,
  /** Resident memory of an idle entry, MB. */
  idleMemoryMb: optional,
  /** Memory for one member, one endpoint, one account, one waiting and one remembered request, bytes. */
  memberBytes: optional,
  endpointBytes: optional,
  accountBytes: optional,
  waitingRequestBytes: optional,
  rememberedRequestBytes: optional,
  /** Size of one endpoint and one account in a configuration message, bytes. */
  endpointMessageBytes: optional,
  accountMessageBytes: optional,
  /** Processor time of an entry to take one configuration of one MB, ms. */
  configurationCpuMsPerMb: optional,
  /** Store calls a second of one relay while nothing changes, watches counted as one. */
  relayStoreCallsPerSecond: optional,
  /** Store calls of the whole fleet for one roll. */
  rollStoreCalls: optional,
  /** Store calls a second of a move's driver. */
  driverStoreCallsPerSecond: optional,
});
export type Slopes = typeof Slopes.Type;

/** Name of a measured cost. */
export type SlopeName = keyof Slopes;

/**
 * Reads measured costs.
 *
 * @param file - JSON file
 * @returns the costs
 * @throws where the file isn't of that form
 */
export const readSlopes = (file: URL): Slopes =>
  Schema.decodeUnknownSync(Slopes)(JSON.parse(readFileSync(file, 'utf8')));
