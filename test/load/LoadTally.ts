import type { LoadBurst, LoadRequest } from './loadPattern.ts';

/** What became of one kind's requests. */
export interface KindOutcome {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  unfinished: number;
  /** Refused once more after they came back. */
  refusedAgain: number;
  /** Of the largest tenth by size. */
  largeAsked: number;
  largeServed: number;
  /** Late only because of a pause. */
  paused: number;
  worth: number;
  owed: number;
}

/** How often the requests of a group are served, relative to those of all others. */
export interface ServedRatio {
  readonly group: string;
  readonly ratio: number;
}

interface Count {
  asked: number;
  served: number;
}

const WINDOW_MS = 2_000;
/** Requests below which the share of a group that is served isn't meaningful. */
const LEAST_GROUP = 20;

const shareOf = ({ asked, served }: Count): number => (asked === 0 ? 1 : served / asked);

/** Ids of a kind's requests from one fraction to another of those in order of falling size. */
const sliceBySize = (load: readonly LoadRequest[], from: number, to: number): readonly string[] => {
  const sorted = [...load].sort((a, b) => b.weight - a.weight || b.promptTokens - a.promptTokens);
  return sorted
    .slice(Math.ceil(sorted.length * from), Math.ceil(sorted.length * to))
    .map(({ id }) => id);
};

/** Counts what becomes of the requests of a play. */
export class LoadTally {
  readonly kinds = new Map<string, KindOutcome>();

  readonly #windows = new Map<number, { worth: number; owed: number }>();

  readonly #tenths: ReadonlySet<string>;

  readonly #fifths: ReadonlySet<string>;

  /** Worth of each whole answer, by the request's id. */
  readonly #worthById = new Map<string, number>();

  readonly #load: readonly LoadRequest[];

  constructor(load: readonly LoadRequest[]) {
    this.#load = load;
    const kinds = [...new Set(load.map(({ kind }) => kind.name))];
    const slices = (from: number, to: number): ReadonlySet<string> =>
      new Set(
        kinds.flatMap((name) =>
          sliceBySize(
            load.filter(({ kind }) => kind.name === name),
            from,
            to,
          ),
        ),
      );
    this.#tenths = slices(0, 0.1);
    this.#fifths = slices(0.1, 0.3);
    load.forEach((request) => {
      const kind = this.kind(request.kind.name);
      kind.asked += 1;
      if (this.#tenths.has(request.id)) kind.largeAsked += 1;
      kind.owed += request.kind.worth * request.weight;
      this.#window(request.at).owed += request.kind.worth * request.weight;
    });
  }

  /** Counts a whole answer with what it is worth. */
  recordServed(request: LoadRequest, worth: number): void {
    const kind = this.kind(request.kind.name);
    kind.worth += worth;
    if (this.#tenths.has(request.id)) kind.largeServed += 1;
    this.#window(request.at).worth += worth;
    this.#worthById.set(request.id, worth);
  }

  /** Returns the counts of a kind. */
  kind(name: string): KindOutcome {
    const known = this.kinds.get(name);
    if (known !== undefined) return known;
    const outcome = {
      asked: 0,
      onTime: 0,
      late: 0,
      refused: 0,
      unfinished: 0,
      refusedAgain: 0,
      largeAsked: 0,
      largeServed: 0,
      paused: 0,
      worth: 0,
      owed: 0,
    };
    this.kinds.set(name, outcome);
    return outcome;
  }

  /** Worth earned of the requests that came in the worst window, as a share of the worth asked for. */
  worstWindow(): number {
    return Math.min(
      ...[...this.#windows.values()].map(({ worth, owed }) => (owed === 0 ? 1 : worth / owed)),
    );
  }

  /**
   * Worth earned of the requests of other accounts that came while an account sent more than usual, as a share of
   * the worth asked for; 1 without such a time.
   *
   * @param bursts - the bursts of the play
   */
  neighbours(bursts: readonly LoadBurst[]): number {
    const hot = bursts.filter(({ account }) => account !== undefined);
    const isNeighbour = ({ at, account }: LoadRequest): boolean =>
      hot.some(({ fromMs, toMs }) => at >= fromMs && at < toMs) &&
      hot.every((burst) => burst.account !== account?.name);
    const requests = this.#load.filter(isNeighbour);
    if (requests.length === 0) return 1;
    const owed = requests.reduce((sum, { kind, weight }) => sum + kind.worth * weight, 0);
    return requests.reduce((sum, { id }) => sum + (this.#worthById.get(id) ?? 0), 0) / owed;
  }

  /** The account that is served least often relative to the others; a ratio of 1 without accounts. */
  worstAccount(): ServedRatio {
    return this.#worst(this.#load, ({ account }) => account?.name ?? '');
  }

  /** The kind that is served least often relative to the others. */
  worstKind(): ServedRatio {
    return this.#worst(this.#load, ({ kind }) => kind.name);
  }

  /** The largest tenth, or the fifth below it, of a kind that is served least often relative to its rest. */
  worstSize(): ServedRatio {
    const sizeOf = ({ id }: LoadRequest): string => {
      if (this.#tenths.has(id)) return 'tenth';
      return this.#fifths.has(id) ? 'fifth' : 'rest';
    };
    const ratios = [...this.kinds.keys()].map((name): ServedRatio => {
      const { group, ratio } = this.#worst(
        this.#load.filter(({ kind }) => kind.name === name),
        sizeOf,
      );
      return { group: `${name}/${group}`, ratio };
    });
    return ratios.reduce((worst, one) => (one.ratio < worst.ratio ? one : worst));
  }

  #worst(load: readonly LoadRequest[], groupOf: (request: LoadRequest) => string): ServedRatio {
    const counts = new Map<string, Count>();
    const all: Count = { asked: 0, served: 0 };
    load.forEach((request) => {
      const count = counts.get(groupOf(request)) ?? { asked: 0, served: 0 };
      counts.set(groupOf(request), count);
      const served = this.#worthById.has(request.id) ? 1 : 0;
      count.asked += 1;
      all.asked += 1;
      count.served += served;
      all.served += served;
    });
    return [...counts].reduce<ServedRatio>(
      (worst, [group, count]) => {
        const rest = { asked: all.asked - count.asked, served: all.served - count.served };
        if (count.asked < LEAST_GROUP || rest.served === 0) return worst;
        const ratio = shareOf(count) / shareOf(rest);
        return ratio < worst.ratio ? { group, ratio } : worst;
      },
      { group: '', ratio: 1 },
    );
  }

  #window(at: number): { worth: number; owed: number } {
    const index = Math.floor(at / WINDOW_MS);
    const known = this.#windows.get(index) ?? { worth: 0, owed: 0 };
    this.#windows.set(index, known);
    return known;
  }
}
