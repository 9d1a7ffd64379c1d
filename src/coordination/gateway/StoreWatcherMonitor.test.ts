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

  it('requires what the watcher knows only from a list', () => {
    const monitor = new StoreWatcherMonitor();
    const listed = { ...heartbeat(10), completeSince: knownRevisions(20) };
    monitor.recordHeartbeat('w', 'w', listed, 0);
    expect(monitor.isReliable('w', knownRevisions(19), 10)).toEqual(false);
    expect(monitor.isReliable('w', knownRevisions(20), 10)).toEqual(true);
  });

  // DRAIN, CONFIG: a watcher that stood still vouched for a view that the store had not confirmed.
  it('stops relying on a watcher whose view the store has not confirmed for long', () => {
    const monitor = new StoreWatcherMonitor();
    monitor.recordHeartbeat('w', 'w', { ...heartbeat(10), confirmedMsAgo: 900 }, 0);
    expect(monitor.isReliable('w', knownRevisions(10), 600)).toEqual(true);
    expect(monitor.isReliable('w', knownRevisions(10), 800)).toEqual(false);
  });
});
