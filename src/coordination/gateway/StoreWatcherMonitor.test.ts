import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StoreWatcherMonitor } from './StoreWatcherMonitor.ts';

const heartbeat = (revision: number, reached = true) => ({
  reached,
  configurationRevision: revision,
  endpointsRevision: revision,
});

const knownRevisions = (revision: number) => ({ configuration: revision, endpoints: revision });

describe('StoreWatcherMonitor', () => {
  it('relies on a watcher that sends heartbeats and reaches the store', () => {
    const monitor = new StoreWatcherMonitor();
    expect(monitor.isReliable('w', knownRevisions(10), 0)).toEqual(false);
    monitor.recordHeartbeat('w', 'w', heartbeat(10), 0);
    expect(monitor.isReliable('w', knownRevisions(10), 100)).toEqual(true);
    monitor.recordHeartbeat('w', 'w', heartbeat(10, false), 200);
    expect(monitor.isReliable('w', knownRevisions(10), 300)).toEqual(false);
  });

  it('stops relying on a watcher whose heartbeats stop', () => {
    const monitor = new StoreWatcherMonitor();
    monitor.recordHeartbeat('w', 'w', heartbeat(10), 0);
    expect(monitor.isReliable('w', knownRevisions(10), 1_400)).toEqual(false);
  });

  it('relies on no watcher but the assigned one', () => {
    const monitor = new StoreWatcherMonitor();
    monitor.recordHeartbeat('other', 'w', heartbeat(10), 0);
    expect(monitor.isReliable('w', knownRevisions(10), 10)).toEqual(false);
  });

  it('detects a watcher that is partitioned from the store by the revisions of other watchers', () => {
    const monitor = new StoreWatcherMonitor();
    monitor.recordHeartbeat('w', 'w', heartbeat(10), 0);
    monitor.recordHeartbeat('other', 'w', heartbeat(12), 50);
    expect(monitor.isReliable('w', knownRevisions(10), 100)).toEqual(true);
    monitor.recordHeartbeat('w', 'w', heartbeat(10), 400);
    expect(monitor.isReliable('w', knownRevisions(10), 501)).toEqual(false);
    expect(monitor.isReliable('w', knownRevisions(12), 600)).toEqual(true);
  });
});
