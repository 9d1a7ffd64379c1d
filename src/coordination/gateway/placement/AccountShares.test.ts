import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import { AccountShares } from './AccountShares.ts';

const ticket = (account: string, more: Partial<PlacementTicket> = {}): PlacementTicket => ({
  id: account,
  service: 'model',
  route: 'quote',
  account,
  accountPriority: 1,
  priority: 1,
  promptTokens: 600,
  outputTokens: 100,
  quotaUnits: 0,
  targetMs: 500,
  gapMs: 500,
  tokensPerEvent: 5,
  remainingMs: 15_000,
  avoid: [],
  ...more,
});

describe('AccountShares', () => {
  const record = (
    shares: AccountShares,
    one: PlacementTicket,
    { requests, grants }: { readonly requests: number; readonly grants: number },
    now = 0,
  ): void => {
    for (let count = 0; count < requests; count += 1) shares.recordRequest(one, now);
    for (let count = 0; count < grants; count += 1) shares.recordGrant(one, 100, now);
  };

  // Guards against an account that takes the engines of the others by sending several times its usual rate.
  it('finds an account that uses more than twice its share, until its use has decayed', () => {
    const shares = new AccountShares();
    ['a', 'b', 'c'].forEach((name) => record(shares, ticket(name), { requests: 10, grants: 9 }));
    record(shares, ticket('hot'), { requests: 80, grants: 70 });
    expect(shares.findAboveShare(0)(ticket('hot'))).toEqual(true);
    expect(shares.findAboveShare(0)(ticket('a'))).toEqual(false);
    ['a', 'b', 'c'].forEach((name) =>
      record(shares, ticket(name), { requests: 10, grants: 9 }, 15_000),
    );
    expect(shares.findAboveShare(15_000)(ticket('hot'))).toEqual(false);
  });

  it('measures use against the quota', () => {
    const shares = new AccountShares();
    const large = ticket('large', { accountWeight: 700 });
    record(shares, large, { requests: 70, grants: 70 });
    ['a', 'b', 'c'].forEach((name) =>
      record(shares, ticket(name, { accountWeight: 100 }), { requests: 10, grants: 10 }),
    );
    expect(shares.findAboveShare(0)(large)).toEqual(false);
  });

  // Guards against an account that is served less than a quarter as often as the rest.
  it('passes over an account that is served far less often than the others', () => {
    const shares = new AccountShares();
    ['a', 'b', 'c'].forEach((name) => record(shares, ticket(name), { requests: 10, grants: 10 }));
    record(shares, ticket('hot'), { requests: 300, grants: 90 });
    expect(shares.findAboveShare(0)(ticket('hot'))).toEqual(false);
  });

  it('compares accounts of one priority and one service only', () => {
    const shares = new AccountShares();
    const other = ticket('other', { accountPriority: 2 });
    ['a', 'b', 'c'].forEach((name) => record(shares, ticket(name), { requests: 10, grants: 9 }));
    record(shares, other, { requests: 80, grants: 70 });
    expect(shares.findAboveShare(0)(other)).toEqual(false);
  });
});
