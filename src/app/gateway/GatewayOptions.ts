import type { CallerLocation } from '../../coordination/gateway/index.ts';
import type { ObjectStore, StatusStore, WireAdapter } from '../../protocol/gateway/index.ts';
import type { GatewaySettings } from '../../state/gateway/index.ts';
import type { ConnectionPool } from '../../transport/http/index.ts';
import type { GatewayLog } from './GatewayLog.ts';

/** Settings, platform adapters and log of a gateway process. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly wire: WireAdapter;
  readonly log: GatewayLog;
  /** Creates the store client on a connection pool; `onCall` is called with the kind of each call. */
  readonly makeStore: (
    pool: ConnectionPool,
    onCall: (call: string) => void,
  ) => ObjectStore & StatusStore;
  /** Paths of the readiness probe and of the list of caller addresses. */
  readonly paths: { readonly readiness: string; readonly addresses: string };
  /** Reads where a caller is from the query of its question for addresses. */
  readonly readCallerLocation: (query: URLSearchParams) => CallerLocation;
  /** Formats the list of addresses, which callers may cache for `cacheMs`. */
  readonly formatAddresses: (addresses: readonly string[], cacheMs: number) => string;
}

/** A started gateway process. */
export interface RunningGateway {
  /** Bound addresses, `IP:PORT` each. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly directory: string;
    readonly peers: string;
    readonly metrics: string;
  };
  /** Drains the gateway; resolves when the process may exit. */
  readonly stop: () => Promise<void>;
  /** Applies the settings that may change at run time: the seeds. */
  readonly reload: (settings: GatewaySettings) => void;
}
