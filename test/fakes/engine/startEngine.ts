import { listen } from '../listen.ts';
import type { EngineFaults } from './EngineFaults.ts';
import type { EngineStats } from './EngineStats.ts';
import { EngineServer } from './EngineServer.ts';

/** How to start the stand-in. */
export interface EngineOptions {
  readonly name?: string;
  readonly port?: number;
  readonly failureDomain?: string;
  readonly slots?: number;
  readonly prefillTokensPerSecond?: number;
  readonly decodeTokensPerSecond?: number;
  readonly decodeSlowdown?: number;
  /** Least time between two chunks of a stream; a chunk holds all tokens since the last. */
  readonly chunkIntervalMs?: number;
  /** Blocks of 64 tokens that the prefix cache holds. */
  readonly cacheBlocks?: number;
  /** How many times faster than real time the engine works. */
  readonly timeScale?: number;
  /** Answers at once, for measuring what lies before the engine. */
  readonly instant?: boolean;
  /** Versions that are ready at the start. */
  readonly versions?: readonly string[];
  readonly loadMs?: number;
  readonly checksFencing?: boolean;
  /** Longest time that a run goes on while nobody reads its answer. */
  readonly orphanMs?: number;
  readonly faults?: Partial<EngineFaults>;
}

/** A running stand-in of a model engine. */
export interface FakeEngine {
  readonly address: string;
  readonly close: () => Promise<void>;
  readonly stats: () => EngineStats;
  /** How often a request id was dispatched to it. */
  readonly arrivals: (id: string) => number;
  readonly setFaults: (faults: Partial<EngineFaults>) => void;
  /** Makes all connections that are open now carry nothing more, in either direction; new ones work. */
  readonly silenceOpenConnections: () => void;
}

/**
 * Starts a stand-in of a model engine with continuous batching.
 *
 * @param options - speed, versions, port and first faults
 * @returns the running stand-in
 */
export const startEngine = async (options: EngineOptions = {}): Promise<FakeEngine> => {
  const engine = new EngineServer(options);
  const listener = await listen((request, response) => {
    engine.handle(request, response);
  }, options.port);
  listener.server.on('connection', (socket) => engine.onConnection(socket));
  return {
    address: listener.address,
    close: () => {
      engine.stop();
      return listener.close();
    },
    stats: () => engine.stats(),
    arrivals: (id) => engine.arrivals(id),
    setFaults: (faults) => engine.setFaults(faults),
    silenceOpenConnections: () => engine.silenceOpenConnections(),
  };
};
