import { describe, it } from 'node:test';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CrashAttribution } from './CrashAttribution.ts';

const SEED = 23;
const SECOND_MS = 1_000;
const FIRST = 'first';

/** Feeds an attribution with numbered runs at numbered starts of engines. */
const makeSubject = () => {
  const attribution = new CrashAttribution();
  let runs = 0;
  const crash = (engine: string, at: number, ...requests: readonly string[][]): void =>
    requests.forEach((parts) => {
      runs += 1;
      attribution.recordRequest(parts, at);
      attribution.recordCrashedRun({ id: `run-${runs}`, engine, parts, at }, at);
    });
  const serve = (engine: string, at: number, parts: readonly string[]): void => {
    attribution.recordRequest(parts, at);
    attribution.recordServed({ engine, parts, at });
  };
  const culprits = (now: number, known: readonly string[] = []): readonly string[] => {
    attribution.settleServed(now);
    return attribution.findCulprits(now, (part) => known.includes(part)).map(({ part }) => part);
  };
  return { attribution, crash, serve, culprits };
};

/** Sound requests that share the first part, each with a document of its own. */
const serveMany = (
  { serve }: ReturnType<typeof makeSubject>,
  from: number,
  count: number,
): void => {
  for (let index = 0; index < count; index += 1)
    serve('steady', from + index * 20, [FIRST, `document-${index % 40}`]);
};

describe('CrashAttribution', () => {
  it('holds the part responsible that all crashes have in common and no served request has', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 200);
    for (let index = 0; index < 4; index += 1) {
      const at = 4_000 + index * 600;
      subject.crash(`engine-${index}`, at, [FIRST, 'bad'], [FIRST, `document-${index}`]);
      serveMany(subject, at + 10, 10);
    }
    expect(subject.culprits(7_500)).toEqual(['bad']);
  });

  it('holds a part responsible by four crashes at one time if no request with it was ever served', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 600);
    for (let index = 0; index < 20; index += 1) subject.attribution.recordRequest(['bad'], 11_900);
    for (let index = 0; index < 4; index += 1)
      subject.crash(
        `engine-${index}`,
        12_010 + index,
        [FIRST, 'bad'],
        [FIRST, `document-${index}`],
      );
    expect(subject.culprits(12_020)).toEqual(['bad']);
  });

  it('needs four crashes', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 200);
    [0, 1, 2].forEach((index) => subject.crash(`engine-${index}`, 4_000 + index, [FIRST, 'bad']));
    serveMany(subject, 4_100, 10);
    expect(subject.culprits(6_000)).toEqual([]);
  });

  it('counts a crash once, and a report that comes again not at all', () => {
    const { attribution, crash, culprits, serve } = makeSubject();
    crash('engine', 0, [FIRST, 'bad'], [FIRST, 'bad'], [FIRST, 'bad'], [FIRST, 'bad']);
    serve('steady', 100, [FIRST, 'document']);
    expect(culprits(2_000)).toEqual([]);
    const again = { id: 'run-1', engine: 'engine', parts: ['bad'], at: 0 };
    expect(attribution.recordCrashedRun(again, 2_000)).toEqual(false);
  });

  // Guards against blaming what many requests share for an outage that takes many engines at once.
  it('holds no frequent part responsible for a crash of all engines at once', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 100);
    for (let index = 0; index < 100; index += 1)
      subject.serve('steady', index * 20, [FIRST, 'hot']);
    for (let index = 0; index < 6; index += 1)
      subject.crash(
        `engine-${index}`,
        2_500 + index,
        [FIRST, 'hot'],
        [FIRST, 'hot'],
        [FIRST, `x-${index}`],
      );
    subject.serve('new', 2_700, [FIRST, 'other']);
    expect(subject.culprits(4_000)).toEqual([]);
  });

  it('holds nothing responsible while nothing is served at all', () => {
    const { crash, culprits } = makeSubject();
    for (let index = 0; index < 8; index += 1)
      crash(`engine-${index}`, index * 2 * SECOND_MS, [FIRST, 'any']);
    expect(culprits(17 * SECOND_MS)).toEqual([]);
  });

  it('takes an answer that its engine barely outlived for no sign that the request is sound', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 200);
    for (let index = 0; index < 4; index += 1) {
      const at = 4_000 + index * 1_500;
      subject.serve(`engine-${index}`, at - 20, [FIRST, 'bad']);
      subject.crash(`engine-${index}`, at, [FIRST, 'bad']);
      serveMany(subject, at + 10, 10);
    }
    expect(subject.culprits(10_000)).toEqual(['bad']);
  });

  it('forgets a crash of an engine that answers later', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 200);
    for (let index = 0; index < 4; index += 1)
      subject.crash(`engine-${index}`, 4_000 + index * 700, [FIRST, 'bad']);
    subject.serve('engine-0', 8_000, [FIRST, 'document-1']);
    expect(subject.culprits(10_000)).toEqual([]);
  });

  it('explains crashes by the part that is known, and finds a second one by the others', () => {
    const subject = makeSubject();
    serveMany(subject, 0, 200);
    for (let index = 0; index < 5; index += 1)
      subject.crash(`a-${index}`, 4_000 + index * 300, [FIRST, 'bad'], [FIRST, 'bystander']);
    for (let index = 0; index < 4; index += 1)
      subject.crash(`b-${index}`, 4_100 + index * 300, [FIRST, 'worse']);
    serveMany(subject, 4_200, 20);
    expect(subject.culprits(7_000)).toEqual(['bad', 'worse']);
    expect(subject.culprits(7_000, ['bad', 'worse'])).toEqual([]);
  });

  it('finds the fatal part and blames no sound one in random storms', () => {
    const generator = xoroshiro128plus(SEED);
    const fraction = (): number => uniformFloat64(generator);
    const pick = (size: number): number => Math.floor(fraction() * size);
    for (let round = 0; round < 200; round += 1) {
      const subject = makeSubject();
      const blamed = new Set<string>();
      serveMany(subject, 0, 200);
      let engine = 0;
      for (let at = 4_000; at < 34_000; at += 50) {
        subject.culprits(at, [...blamed]).forEach((part) => blamed.add(part));
        if (fraction() < 0.05 && !blamed.has('bad')) {
          engine += 1;
          const bystanders = Array.from({ length: pick(4) }, () => [FIRST, `document-${pick(40)}`]);
          subject.crash(`engine-${engine}`, at, [FIRST, 'bad'], ...bystanders);
        } else if (fraction() < 0.005) {
          engine += 1;
          subject.crash(`engine-${engine}`, at, [FIRST, `document-${pick(40)}`]);
        }
        subject.serve('steady', at, [FIRST, `document-${pick(40)}`]);
      }
      expect([...blamed]).toEqual(['bad']);
    }
  });
});
