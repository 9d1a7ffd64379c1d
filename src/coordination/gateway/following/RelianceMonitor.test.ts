import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RelianceMonitor } from './RelianceMonitor.ts';

const revisions = (revision: number) => ({ configuration: revision, endpoints: revision });
const report = (revision: number, confirmedAt = 0) => ({
  required: revisions(revision),
  confirmedAt,
});
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
    expect(monitor.takeRequest(['w', 'other'], 100)).toEqual(undefined);
    expect(monitor.takeRequest(['w', 'other'], 150)).toEqual('other');
    expect(monitor.takeRequest(['w', 'other'], 200)).toEqual(undefined);
    expect(monitor.takeRequest(['w', 'other'], 300)).toEqual('other');
    monitor.findObstacle(view(12, 0), 1, 400);
    expect(monitor.takeRequest(['w', 'other'], 500)).toEqual(undefined);
  });

  // CONFIG, DRAIN: a gateway that the store refused had a view that was seconds old, beside peers that knew better.
  it('asks the peers whose views are youngest, one after the other, when its own is old', () => {
    const monitor = new RelianceMonitor();
    monitor.recordReport('a', report(10, 100));
    monitor.recordReport('b', report(10, 300));
    const peers = ['a', 'b', 'c'];
    monitor.findObstacle(view(10, 1_100), 0, 1_000);
    expect(monitor.takeRequest(peers, 1_000)).toEqual(undefined);
    monitor.findObstacle(view(10, 1_300), 0, 1_200);
    const asked = [1_200, 1_300, 1_350, 1_500, 1_650].map((at) => monitor.takeRequest(peers, at));
    expect(asked).toEqual(['b', undefined, 'a', 'c', undefined]);
    expect(monitor.takeRequest(peers, 2_200)).toEqual('b');
  });

  // CONFIG: a gateway that the store refused asked the one peer that had reported a change, which was gone.
  it('asks others if the peer that reported the highest revisions does not answer', () => {
    const monitor = new RelianceMonitor();
    monitor.recordReport('b', report(10, 100));
    monitor.recordReport('gone', report(12, 200));
    monitor.findObstacle(view(10, 1_000), 0, 1_000);
    monitor.findObstacle(view(10, 1_050), 0, 1_050);
    expect(monitor.takeRequest(['b'], 1_050)).toEqual('gone');
    monitor.findObstacle(view(10, 1_250), 0, 1_250);
    expect(monitor.takeRequest(['b'], 1_250)).toEqual('b');
  });
});
