import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { COMMANDS } from '../src/cli/commands/index.ts';
import { startPlatform } from './fakes/platform/index.ts';
import type { FakePlatform } from './fakes/platform/index.ts';
import { runCommand } from './support/runCommand.ts';

const FIRST = fileURLToPath(new URL('../docs/examples/orbitale/bundle.jsonc', import.meta.url));
const SECOND = fileURLToPath(new URL('../docs/examples/orbitale/bundle-2.jsonc', import.meta.url));

const folder = mkdtempSync(join(tmpdir(), 'operator-'));
after(() => rmSync(folder, { recursive: true }));

const writeFile = (name: string, text: string): string => {
  const file = join(folder, name);
  writeFileSync(file, text);
  return file;
};

const bundleText = readFileSync(FIRST, 'utf8');
const badTier = writeFile('badTier.jsonc', bundleText.replace('"tier": "desk"', '"tier": "dusk"'));
const malformed = writeFile('malformed.jsonc', bundleText.slice(0, 400));
const changed = writeFile(
  'changed.jsonc',
  bundleText.replace('"concurrency": 96', '"concurrency": 9'),
);

/** A session of operators against one stand-in of the platform. */
class Session {
  private constructor(readonly platform: FakePlatform) {}

  static async start(): Promise<Session> {
    return new Session(await startPlatform());
  }

  run(...words: string[]) {
    return runCommand([...words, '--platform', this.platform.address, '--namespace', 'orbitale']);
  }

  step(...words: string[]) {
    return this.run(...words, '--operator', 'ana');
  }

  async digestOf(bundle: string): Promise<string> {
    const rows = JSON.parse((await this.run('bundle', 'show', '--json')).stdout);
    return rows.find((row: { bundle: string }) => row.bundle === bundle).digest;
  }

  async prepare(file: string, bundle: string): Promise<void> {
    await this.step('bundle', 'propose', file);
    const digest = await this.digestOf(bundle);
    await this.step('bundle', 'approve', bundle, '--digest', digest);
  }
}

const withSession = async (use: (session: Session) => Promise<void>): Promise<void> => {
  const session = await Session.start();
  await use(session).finally(() => session.platform.close());
};

const STEPS = {
  propose: ['bundle', 'propose', FIRST],
  approve: ['bundle', 'approve', 'orbitale-1'],
  roll: ['bundle', 'roll', 'orbitale-1'],
};

/** What has to come before a step. */
const prepareFor = async (
  step: keyof typeof STEPS,
  session: Session,
): Promise<readonly string[]> => {
  if (step === 'propose') return [];
  await session.step('bundle', 'propose', FIRST);
  const digest = await session.digestOf('orbitale-1');
  if (step === 'approve') return ['--digest', digest];
  await session.step('bundle', 'approve', 'orbitale-1', '--digest', digest);
  return [];
};

/** A write that was answered by an error may have taken effect, so only a step that reads first ends with 5. */
const FAULTS = [
  {
    fault: 'the store is away',
    faults: { away: true },
    codes: { propose: 4, approve: 5, roll: 5 },
  },
  {
    fault: 'the write takes effect but its answer is lost',
    faults: { loseAnswerAfterWrite: 1 },
    codes: { propose: 0, approve: 0, roll: 0 },
  },
  {
    fault: 'the answer is lost and the store goes away',
    faults: { loseAnswerAfterWrite: 1, awayAfterWrites: 1 },
    codes: { propose: 4, approve: 4, roll: 4 },
  },
  {
    fault: 'the store takes no more writes for now',
    faults: { writesPerSecond: 0.001 },
    codes: { propose: 4, approve: 4, roll: 4 },
  },
] as const;

const NO_FAULTS = {
  away: false,
  loseAnswerAfterWrite: 0,
  awayAfterWrites: -1,
  writesPerSecond: 0,
};

(Object.keys(STEPS) as (keyof typeof STEPS)[]).forEach((step) =>
  FAULTS.forEach(({ fault, faults, codes }) =>
    test(`bundle ${step} while ${fault} ends with ${codes[step]}, and does no harm when run again`, () =>
      withSession(async (session) => {
        const words = [...STEPS[step], ...(await prepareFor(step, session))];
        session.platform.setFaults(faults);
        expect((await session.step(...words)).code).toEqual(codes[step]);
        session.platform.setFaults(NO_FAULTS);
        expect((await session.step(...words)).code).toEqual(0);
        const written = session.platform.history().map(({ object }) => object.kind);
        expect(new Set(written).size).toEqual(written.length);
      })),
  ),
);

const REFUSALS = [
  {
    what: 'an account in an unknown tier',
    words: ['bundle', 'propose', badTier],
    says: 'accounts[0].tier',
  },
  {
    what: 'a file that is cut off',
    words: ['bundle', 'propose', malformed],
    says: 'not JSON with comments',
  },
  {
    what: 'a file that is not there',
    words: ['bundle', 'propose', join(folder, 'none')],
    says: 'ENOENT',
  },
  {
    what: 'a bundle that nobody proposed',
    words: ['bundle', 'roll', 'orbitale-9'],
    says: 'orbitale-9',
  },
  {
    what: 'approval of another digest',
    words: ['bundle', 'approve', 'orbitale-1', '--digest', 'sha256:0'],
    says: 'digest',
  },
  { what: 'a roll without approval', words: ['bundle', 'roll', 'orbitale-1'], says: 'approv' },
] as const;

REFUSALS.forEach(({ what, words, says }) =>
  test(`${what} is refused with 2, is named, and changes nothing`, () =>
    withSession(async (session) => {
      await session.step('bundle', 'propose', FIRST);
      const before = session.platform.history().length;
      const { code, stderr } = await session.step(...words);
      expect(code).toEqual(2);
      expect(stderr).toInclude(says);
      expect(session.platform.history().length).toEqual(before);
    })),
);

test('another bundle under a version that is taken loses with 1', () =>
  withSession(async (session) => {
    await session.step('bundle', 'propose', FIRST);
    const { code, stderr } = await session.step('bundle', 'propose', changed);
    expect(code).toEqual(1);
    expect(stderr).toInclude('ana');
  }));

test('an older bundle does not go in force after a newer one', () =>
  withSession(async (session) => {
    await session.prepare(FIRST, 'orbitale-1');
    await session.prepare(SECOND, 'orbitale-2');
    expect((await session.step('bundle', 'roll', 'orbitale-2')).code).toEqual(0);
    expect((await session.step('bundle', 'roll', 'orbitale-1')).code).not.toEqual(0);
    expect((await session.run('bundle', 'show')).stdout).toInclude('in force as roll 1');
  }));

test('reading with the store away ends with 5, also as JSON', () =>
  withSession(async (session) => {
    session.platform.setFaults({ away: true });
    expect((await session.run('bundle', 'show')).code).toEqual(5);
    expect((await session.run('move', 'list')).code).toEqual(5);
    const json = await session.run('move', 'list', '--json');
    expect(JSON.parse(json.stdout).error.message).toInclude('away');
  }));

test('an empty platform has no bundle and no move', () =>
  withSession(async (session) => {
    expect(await session.run('bundle', 'show')).toEqual({
      code: 0,
      stdout: 'no bundle yet',
      stderr: '',
    });
    expect(await session.run('move', 'list')).toEqual({
      code: 0,
      stdout: 'no move yet',
      stderr: '',
    });
  }));

test('every command has help with its usage', async () => {
  const helps = [];
  for (const id of Object.keys(COMMANDS)) {
    helps.push(await runCommand([...id.split(':'), '--help']));
  }
  helps.forEach(({ code, stdout, stderr }) => {
    expect(stderr).toEqual('');
    expect(code).toEqual(0);
    expect(stdout).toInclude('USAGE');
  });
});

test('check names place, path, fault and a value that would do', async () => {
  const { code, stderr } = await runCommand(['check', badTier]);
  expect(code).toEqual(2);
  expect(stderr).toMatchRegex(/badTier\.jsonc:\d+:\d+: accounts\[0\]\.tier: .*"dusk".*"desk"/);
});
