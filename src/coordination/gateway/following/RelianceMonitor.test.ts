import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RelianceMonitor } from './RelianceMonitor.ts';

const revisions = (revision: number) => ({ configuration: revision, endpoints: revision });
const report = (revision: number) => ({ required: revisions(revision) });
const view = (revision: number, ageMs: number) => ({ known: revisions(revision), ageMs });

describe('RelianceMonitor', () => {
  it('relies on peers while the store has confirmed the view lately', () => {
    const monitor = new RelianceMonitor();
    monitor.recordReport('w', report(10));
    expect(monitor.findObstacle(view(10, 900), 1, 0)).toEqual(undefined);
  });

  it('relies on nobody before the view was confirmed', () => {
    const monitor = new RelianceMonitor();
    expect(monitor.findObstacle(view(10, Number.POSITIVE_INFINITY), 1, 0)).toEqual('old');
  });

  // DRAIN, CONFIG: a watcher that stood still vouched for a view that the store had not confirmed.
  it('stops relying on peers when the store has not confirmed the view for long', () => {
    const monitor = new RelianceMonitor();
    expect(monitor.findObstacle(view(10, 1_100), 1, 0)).toEqual(undefined);
    expect(monitor.findObstacle(view(10, 1_300), 1, 0)).toEqual('old');
  });

  it('lets one member after the other call the store', () => {
    const monitor = new RelianceMonitor();
    const obstacles = [1, 2, 3, 9].map((rank) => monitor.findObstacle(view(10, 1_300), rank, 0));
    expect(obstacles).toEqual(['old', undefined, undefined, undefined]);
  });

  it('detects that its watcher lags by the revisions of other peers', () => {
    const monitor = new RelianceMonitor();
    monitor.recordReport('w', report(10));
    monitor.recordReport('other', report(12));
    expect(monitor.findObstacle(view(10, 0), 1, 100)).toEqual(undefined);
    monitor.recordReport('w', report(10));
    expect(monitor.findObstacle(view(10, 0), 1, 501)).toEqual('lagging');
    expect(monitor.findObstacle(view(12, 0), 1, 600)).toEqual(undefined);
  });

  it('asks the peer that reported the highest revisions for what is missing', () => {
    const monitor = new RelianceMonitor();
    monitor.recordReport('other', report(12));
    monitor.recordReport('w', report(10));
    monitor.findObstacle(view(10, 0), 1, 100);
    expect(monitor.takeRequest(100)).toEqual(undefined);
    expect(monitor.takeRequest(150)).toEqual('other');
    expect(monitor.takeRequest(200)).toEqual(undefined);
    expect(monitor.takeRequest(300)).toEqual('other');
    monitor.findObstacle(view(12, 0), 1, 400);
    expect(monitor.takeRequest(500)).toEqual(undefined);
  });
});
