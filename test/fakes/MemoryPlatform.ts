import * as Effect from 'effect/Effect';
import type {
  ObjectKind,
  PlatformApi,
  StoredObject,
  WatchEvent,
  WriteOutcome,
} from '../../src/protocol/platform/PlatformApi.ts';

/** Faults of the store, changed by a test while it runs. */
export interface PlatformFaults {
  /** All calls are unavailable or unsettled without effect; watches break. */
  away: boolean;
  /** So many next writes take effect but their answer is lost. */
  loseAnswers: number;
  /** So many next writes are lost before they take effect. */
  loseWrites: number;
  /** So many next writes meet another writer's change. */
  conflicts: number;
}

const AWAY = { _tag: 'unavailable', detail: 'away' } as const;

/** The platform's object API in memory. */
export class MemoryPlatform implements PlatformApi {
  readonly faults: PlatformFaults = { away: false, loseAnswers: 0, loseWrites: 0, conflicts: 0 };

  readonly calls = { reads: 0, writes: 0, watches: 0 };

  /** Every write that took effect, in order. */
  readonly history: StoredObject[] = [];

  private readonly objects = new Map<string, StoredObject>();

  private readonly watchers = new Set<{ kind: ObjectKind; emit: (event: WatchEvent) => void }>();

  private version = 0;

  read(kind: ObjectKind, name: string) {
    return Effect.sync(() => {
      this.calls.reads += 1;
      if (this.faults.away) return AWAY;
      const object = this.objects.get(`${kind}/${name}`);
      return object === undefined
        ? ({ _tag: 'absent' } as const)
        : ({ _tag: 'found', object } as const);
    });
  }

  list(kind: ObjectKind) {
    return Effect.sync(() => {
      this.calls.reads += 1;
      if (this.faults.away) return AWAY;
      const objects = [...this.objects.values()].filter((object) => object.kind === kind);
      return { _tag: 'listed', objects, resourceVersion: String(this.version) } as const;
    });
  }

  create(kind: ObjectKind, name: string, value: unknown) {
    return this.write(kind, name, value, undefined);
  }

  replace(kind: ObjectKind, name: string, value: unknown, resourceVersion: string) {
    return this.write(kind, name, value, resourceVersion);
  }

  watch(kind: ObjectKind, resourceVersion: string, onEvent: (event: WatchEvent) => void) {
    return Effect.gen({ self: this }, function* watch() {
      this.calls.watches += 1;
      if (this.faults.away) {
        onEvent({ _tag: 'broken', detail: 'away' });
        return;
      }
      const missed = this.history.filter((object) => object.kind === kind);
      missed
        .filter((object) => Number(object.resourceVersion) > Number(resourceVersion))
        .forEach((object) => onEvent({ _tag: 'put', object }));
      const watcher = { kind, emit: onEvent };
      this.watchers.add(watcher);
      yield* Effect.addFinalizer(() => Effect.sync(() => this.watchers.delete(watcher)));
      yield* Effect.never;
    });
  }

  /** Takes the store away, breaking its watches, or brings it back. */
  setAway(away: boolean): void {
    this.faults.away = away;
    if (!away) return;
    this.watchers.forEach(({ emit }) => emit({ _tag: 'broken', detail: 'away' }));
    this.watchers.clear();
  }

  private write(kind: ObjectKind, name: string, value: unknown, expected: string | undefined) {
    return Effect.sync((): WriteOutcome => {
      this.calls.writes += 1;
      if (this.faults.away) return { _tag: 'unsettled', detail: 'away' };
      if (this.use('loseWrites')) return { _tag: 'unsettled', detail: 'lost' };
      const key = `${kind}/${name}`;
      if (this.use('conflicts') || this.objects.get(key)?.resourceVersion !== expected) {
        return { _tag: 'conflict' };
      }
      const object = this.put(kind, name, value);
      if (this.use('loseAnswers')) return { _tag: 'unsettled', detail: 'answer lost' };
      return { _tag: 'written', object };
    });
  }

  private put(kind: ObjectKind, name: string, value: unknown): StoredObject {
    this.version += 1;
    const copy: unknown = JSON.parse(JSON.stringify(value));
    const object = { kind, name, resourceVersion: String(this.version), value: copy };
    this.objects.set(`${kind}/${name}`, object);
    this.history.push(object);
    [...this.watchers]
      .filter((watcher) => watcher.kind === kind)
      .forEach(({ emit }) => emit({ _tag: 'put', object }));
    return object;
  }

  private use(fault: 'loseAnswers' | 'loseWrites' | 'conflicts'): boolean {
    if (this.faults[fault] === 0) return false;
    this.faults[fault] -= 1;
    return true;
  }
}
