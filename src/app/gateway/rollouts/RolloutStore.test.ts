import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import type { StatusStore, WireAdapter } from '../../../protocol/gateway/index.ts';
import { RolloutStore } from './RolloutStore.ts';

describe('RolloutStore', () => {
  // Guards against a loop of watches and lists without a pause, where no history follows the position of the list.
  it('pauses before it lists again what it has just listed', async () => {
    let lists = 0;
    const store: StatusStore = {
      list: () => {
        lists += 1;
        if (lists > 100) throw new Error('lists without a pause');
        return Promise.resolve({ _tag: 'listed', objects: [], revision: 10 });
      },
      watch: () => Promise.resolve({ _tag: 'expired' }),
      writeStatus: () => Promise.resolve({ _tag: 'missing' }),
    };
    await new Promise<void>((resolve) => {
      const rollouts = new RolloutStore({
        store,
        wire: {} as WireAdapter,
        onOrders: () => {},
        logger: pino({ level: 'silent' }),
        now: () => 0,
        sleep: () => {
          rollouts.setFollowing(false);
          resolve();
          return Promise.resolve();
        },
      });
      rollouts.setFollowing(true);
    });
    expect(lists).toEqual(1);
  });
});
