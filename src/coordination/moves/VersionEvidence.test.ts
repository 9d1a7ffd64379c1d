import { test } from 'node:test';
import { expect } from 'earl';
import { makeBundle, makeMove } from '../../../test/fakes/makeBundle.ts';
import type { CallRecord } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import { VersionEvidence } from './VersionEvidence.ts';

const STEP_MS = 200;

const copyToDomain = (bundle: Bundle, domain: string) =>
  bundle.endpoints.map((each) => ({
    ...each,
    name: `${each.name}-${domain}`,
    failureDomain: domain,
  }));

const makeEvidence = () => {
  const bundle = makeBundle(1);
  return new VersionEvidence(makeMove(), [
    ...copyToDomain(bundle, 'a'),
    ...copyToDomain(bundle, 'b'),
  ]);
};

interface Case {
  readonly version: 'v1' | 'v2';
  readonly home: string;
  readonly domain?: string;
  readonly change?: Partial<CallRecord>;
}

const feed = (
  evidence: VersionEvidence,
  cases: readonly Case[],
  rounds: number,
  from = 0,
): void => {
  for (let round = 0; round < rounds; round += 1) {
    cases.forEach(({ version, home, domain = 'a', change = {} }, index) => {
      const record: CallRecord = {
        result: 'completed',
        firstTokenMs: 10,
        totalMs: 1_000,
        promptTokens: 0,
        cachedTokens: 0,
        outputTokens: 40,
        connectFailure: false,
        ...change,
      };
      const now = from + round * STEP_MS + index;
      const endpoint = `summaries-${version}-${domain}`;
      const release = {
        _tag: 'release',
        id: 'x',
        pool: 'summaries',
        route: 'r',
        version,
        record,
      } as const;
      evidence.record(home, { ...release, endpoint }, now);
    });
  }
};

const FAILED = { result: 'failed' } as const;
const UNREACHABLE = { result: 'refused', connectFailure: true } as const;
const USUAL: readonly Case[] = ['one', 'two'].map((home) => ({ version: 'v1', home }));

const CASES: readonly (readonly [string, readonly Case[], 'failures' | 'latency' | undefined])[] = [
  [
    'two homes report failures',
    [
      { version: 'v2', home: 'one', change: FAILED },
      { version: 'v2', home: 'two', domain: 'b', change: FAILED },
    ],
    'failures',
  ],
  [
    'only one home reports failures',
    [
      { version: 'v2', home: 'one', change: FAILED },
      { version: 'v2', home: 'two', domain: 'b' },
    ],
    undefined,
  ],
  [
    'only one home reports slow requests',
    [
      { version: 'v2', home: 'one', change: { totalMs: 9_000 } },
      { version: 'v2', home: 'two', domain: 'b' },
    ],
    undefined,
  ],
  [
    'two homes report failures of one failure domain',
    [
      { version: 'v2', home: 'one', change: FAILED },
      { version: 'v2', home: 'two', change: FAILED },
      { version: 'v2', home: 'two', domain: 'b' },
    ],
    'failures',
  ],
  [
    'only one home fails to connect',
    [
      { version: 'v2', home: 'one', change: UNREACHABLE },
      { version: 'v2', home: 'one', domain: 'b', change: UNREACHABLE },
    ],
    undefined,
  ],
  [
    'no home can connect to one of its endpoints',
    [
      { version: 'v2', home: 'one', change: UNREACHABLE },
      { version: 'v2', home: 'two', change: UNREACHABLE },
      { version: 'v2', home: 'two', domain: 'b' },
    ],
    undefined,
  ],
  [
    'no home can connect to any of its endpoints',
    ['a', 'b'].flatMap((domain) =>
      ['one', 'two'].map((home) => ({ version: 'v2', home, domain, change: UNREACHABLE }) as const),
    ),
    'failures',
  ],
  [
    'both versions fail equally',
    [
      { version: 'v2', home: 'one', change: FAILED },
      { version: 'v2', home: 'two', change: FAILED },
      { version: 'v1', home: 'one', change: FAILED },
      { version: 'v1', home: 'two', change: FAILED },
    ],
    undefined,
  ],
  [
    'both versions slow down equally',
    [
      { version: 'v2', home: 'one', change: { totalMs: 4_000 } },
      { version: 'v2', home: 'two', domain: 'b', change: { totalMs: 4_000 } },
      ...USUAL.map((each) => ({ ...each, change: { totalMs: 4_000 } })),
    ],
    undefined,
  ],
  [
    'one of its endpoints is slow',
    [
      { version: 'v2', home: 'one', change: { totalMs: 4_000 } },
      { version: 'v2', home: 'two', domain: 'b' },
      { version: 'v2', home: 'one', domain: 'b' },
      { version: 'v2', home: 'two', change: { totalMs: 4_000 } },
    ],
    undefined,
  ],
  [
    'all of its endpoints are slow',
    [
      { version: 'v2', home: 'one', change: { totalMs: 4_000 } },
      { version: 'v2', home: 'two', domain: 'b', change: { totalMs: 4_000 } },
    ],
    'latency',
  ],
];

CASES.forEach(([name, cases, reason]) => {
  test(`a version is ${reason === undefined ? 'not condemned' : `condemned for ${reason}`} where ${name}`, () => {
    const evidence = makeEvidence();
    feed(evidence, USUAL, 60);
    feed(evidence, [...cases, ...(name.startsWith('both') ? [] : USUAL)], 40, 60 * STEP_MS);
    expect(evidence.detectedFault()?.reason).toEqual(reason);
  });
});

test('a stage lacks evidence until the new version has enough samples, and each stage counts its own', () => {
  const evidence = makeEvidence();
  const stage = { share: 0.1, holdMs: 0, minimumSamples: 5 };
  feed(evidence, USUAL, 20);
  expect(evidence.missingEvidence(stage)).toEqual('0 of 5 samples');
  feed(evidence, [{ version: 'v2', home: 'one' }], 5);
  expect(evidence.missingEvidence(stage)).toEqual(undefined);
  evidence.beginStage();
  expect(evidence.missingEvidence(stage)).toEqual('0 of 5 samples');
});
