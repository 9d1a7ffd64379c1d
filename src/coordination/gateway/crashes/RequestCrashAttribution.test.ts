import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RequestCrashAttribution } from './RequestCrashAttribution.ts';

const makeSubject = () => {
  const attribution = new RequestCrashAttribution();
  const crash = (endpoint: string, at: number, ...fingerprints: readonly string[]): void =>
    fingerprints.forEach((fingerprint) =>
      attribution.recordCrash({ endpoint, fingerprint, at, servedAt: at - 100 }),
    );
  const find = (now: number, known: readonly string[] = []): readonly string[] =>
    attribution.findFatal(now, (one) => known.includes(one)).map(({ fingerprint }) => fingerprint);
  return { attribution, crash, find };
};

describe('RequestCrashAttribution', () => {
  it('holds a request responsible that was in flight at three crashes, and none beside it', () => {
    const { crash, find } = makeSubject();
    crash('a', 0, 'bad', 'sound-1');
    crash('b', 50, 'bad', 'sound-2', 'sound-3');
    expect(find(50)).toEqual([]);
    crash('c', 100, 'bad', 'sound-4');
    expect(find(100)).toEqual(['bad']);
  });

  it('counts one crash that ended many runs of a request once', () => {
    const { crash, find } = makeSubject();
    for (let run = 0; run < 20; run += 1) crash('a', run, 'bad');
    expect(find(1_000)).toEqual([]);
  });

  it('holds a request that is often in flight for sound once it was answered', () => {
    const { attribution, crash, find } = makeSubject();
    crash('a', 0, 'bad', 'hot');
    crash('b', 2_000, 'bad', 'hot');
    attribution.recordServed('hot', 'd', 2_500);
    crash('c', 4_000, 'bad', 'hot');
    expect(find(4_000)).toEqual(['bad']);
    expect(attribution.isSuspect('hot')).toEqual(true);
  });

  it('holds requests beside a known one for bystanders', () => {
    const { crash, find } = makeSubject();
    ['a', 'b', 'c'].forEach((endpoint, index) => crash(endpoint, index * 2_000, 'bad', 'hot'));
    expect(find(6_000, ['bad'])).toEqual([]);
  });

  it('blames no request where no endpoint served anything before', () => {
    const attribution = new RequestCrashAttribution();
    ['a', 'b', 'c'].forEach((endpoint) =>
      attribution.recordCrash({ endpoint, fingerprint: 'any', at: 9_000, servedAt: 1_000 }),
    );
    expect(attribution.findFatal(10_000, () => false)).toEqual([]);
  });

  it('forgets a crash of an endpoint that answers later, as after a cut', () => {
    const { attribution, crash, find } = makeSubject();
    ['a', 'b', 'c'].forEach((endpoint, index) => crash(endpoint, index * 20, 'bad'));
    attribution.recordServed('other', 'b', 1_000);
    expect(find(1_500)).toEqual([]);
  });

  it('forgets old crashes', () => {
    const { attribution, crash } = makeSubject();
    crash('a', 0, 'bad');
    attribution.evict(121_000);
    expect(attribution.isWatching).toEqual(false);
  });
});
