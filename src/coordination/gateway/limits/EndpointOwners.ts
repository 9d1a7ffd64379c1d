import type { Member } from '../../../state/Member.ts';
import { rankMembers } from '../../membership/rankMembers.ts';

/**
 * The gateways that may send to each capped endpoint when they decide alone. A share of a low cap for every gateway
 * would allow less than one request each, so a few gateways have the whole part, others for each endpoint.
 */
export class EndpointOwners {
  #members: readonly Member[] = [];

  #key = '';

  readonly #ranked = new Map<string, readonly string[]>();

  /**
   * Replaces the gateways.
   *
   * @param members - all that may serve, also those that may be on the other side of a network partition
   */
  setMembers(members: readonly Member[]): void {
    const key = members
      .map(({ incarnation }) => incarnation)
      .sort()
      .join(' ');
    if (key === this.#key) return;
    this.#key = key;
    this.#members = members;
    this.#ranked.clear();
  }

  /**
   * Whether a gateway is among the owners of an endpoint.
   *
   * @param incarnation - the gateway's incarnation
   * @param endpointId - the endpoint
   * @param owners - number of the endpoint's owners
   */
  isOwner(incarnation: string, endpointId: string, owners: number): boolean {
    const known = this.#ranked.get(endpointId);
    const ranked =
      known ?? rankMembers(endpointId, this.#members).map((member) => member.incarnation);
    if (known === undefined) this.#ranked.set(endpointId, ranked);
    return ranked.slice(0, owners).includes(incarnation);
  }
}
