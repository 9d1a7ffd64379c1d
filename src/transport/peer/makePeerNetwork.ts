import type * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { PeerDelivery, PeerNetwork } from '../../protocol/peer/PeerNetwork.ts';
import { OutgoingLinks } from './OutgoingLinks.ts';
import { PeerDatagrams } from './PeerDatagrams.ts';
import { PeerListener } from './PeerListener.ts';
import { PeerTraffic } from './PeerTraffic.ts';

/** What a peer network is made of. */
export interface PeerNetworkOptions {
  /** `IP:PORT` to listen at; port 0 takes any free port. */
  readonly address: string;
  /** Shared by all entries; never sent. */
  readonly secret: string;
  /** Own incarnation, which may change over time. */
  readonly incarnation: () => string;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Takes HTTP requests of peers; without it they are refused. */
  readonly onRequest?: http.RequestListener;
}

/** A network that runs, and where. */
export interface BoundPeerNetwork {
  readonly network: PeerNetwork;
  /** `IP:PORT` that it is bound to. */
  readonly address: string;
  /** Messages that could not be decoded since the start. */
  readonly undecodable: () => number;
}

const CHECK_INTERVAL_MS = 250;

const listen = (listener: PeerListener, address: string): Effect.Effect<string> =>
  Effect.callback<string>((resume) => {
    const separator = address.lastIndexOf(':');
    // Later errors are those of connections that can't be accepted, which must not end the process.
    listener.server.on('error', (error) => resume(Effect.die(error)));
    listener.server.listen(
      Number(address.slice(separator + 1)),
      address.slice(0, separator),
      () => {
        const bound = listener.server.address() as AddressInfo;
        resume(Effect.succeed(`${bound.address}:${bound.port}`));
      },
    );
  });

/**
 * Starts the network between entries. Links and listener close with the scope.
 *
 * @param options - address, secret and clock
 * @returns the network and the address that it is bound to
 */
export const makePeerNetwork = (
  options: PeerNetworkOptions,
): Effect.Effect<BoundPeerNetwork, never, Scope.Scope> =>
  Effect.gen(function* startNetwork() {
    const traffic = new PeerTraffic();
    const links = new OutgoingLinks({ ...options, traffic });
    let deliver: (delivery: PeerDelivery) => void = () => {};
    const listener = yield* Effect.acquireRelease(
      Effect.sync(
        () =>
          new PeerListener({
            secret: options.secret,
            traffic,
            onDelivery: (delivery) => deliver(delivery),
            onRequest: options.onRequest,
          }),
      ),
      ({ server }) => Effect.sync(() => server.close()),
    );
    const address = yield* listen(listener, options.address);
    const datagrams = yield* Effect.acquireRelease(
      Effect.sync(
        () =>
          new PeerDatagrams({ ...options, traffic, onDelivery: (delivery) => deliver(delivery) }),
      ),
      (bound) => Effect.sync(() => bound.close()),
    );
    const separator = address.lastIndexOf(':');
    const takesDatagrams = yield* Effect.promise(() =>
      datagrams.bind(address.slice(0, separator), Number(address.slice(separator + 1))),
    );
    const timer = setInterval(() => links.check(), CHECK_INTERVAL_MS);
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        clearInterval(timer);
        links.close();
        listener.close();
      }),
    );
    return {
      network: {
        send: (peerAddress, message) => links.send(peerAddress, message),
        sendDatagram: (peerAddress, message) => datagrams.send(peerAddress, message),
        takesDatagrams,
        confirm: (peerAddress) => links.confirm(peerAddress),
        onDelivery: (handler) => {
          deliver = handler;
        },
        traffic: () => traffic.counts(),
      },
      address,
      undecodable: () => traffic.counts().undecodable,
    };
  });
