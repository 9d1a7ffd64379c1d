import { encodePeerMessage } from '../../protocol/peer/peerCodec.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import { OutgoingLink } from './OutgoingLink.ts';
import type { PeerTraffic } from './PeerTraffic.ts';

/** What the links of a process are made of. */
export interface OutgoingLinksOptions {
  readonly secret: string;
  /** Sender's incarnation, which may change over time. */
  readonly incarnation: () => string;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly traffic: PeerTraffic;
}

const MAXIMUM_LINKS = 256;
const IDLE_MS = 30_000;
const FIRST_BACK_OFF_MS = 100;
const MAXIMUM_BACK_OFF_MS = 2_000;
const MAXIMUM_BACK_OFFS = 4_096;

/** Whether a message answers one whose sender notices by itself that no answer comes. */
const isAnswer = ({ _tag }: PeerMessage): boolean => _tag === 'probeAck';

interface BackOff {
  readonly delayMs: number;
  readonly until: number;
}

/** The links that this process opened, one a peer, the least used closed first. */
export class OutgoingLinks {
  readonly #options: OutgoingLinksOptions;

  /** In order of use, so that the first is the one to close. */
  readonly #links = new Map<string, OutgoingLink>();

  readonly #backOffs = new Map<string, BackOff>();

  constructor(options: OutgoingLinksOptions) {
    this.#options = options;
  }

  /**
   * Sends a message over the link to a peer, opening it where there is none.
   *
   * @param address - the peer's `IP:PORT`
   * @param message - what to say
   * @returns false where it was surely not sent
   */
  send(address: string, message: PeerMessage): boolean {
    const now = this.#options.now();
    const bytes = encodePeerMessage(this.#options.incarnation(), message);
    if (!bytes) return false;
    return this.#linkTo(address, now)?.send(bytes, now, !isAnswer(message)) ?? false;
  }

  /**
   * Records that a peer has answered a message.
   *
   * @param address - the peer's `IP:PORT`
   */
  confirm(address: string): void {
    this.#links.get(address)?.confirm();
  }

  /** Finds lost links, and closes those that are idle. */
  check(): void {
    const now = this.#options.now();
    Array.from(this.#links.entries()).forEach(([address, link]) => {
      link.check(now);
      if (now - link.usedAt > IDLE_MS) this.#close(address, link);
    });
    this.#backOffs.forEach((backOff, address) => {
      if (now - backOff.until > MAXIMUM_BACK_OFF_MS) this.#backOffs.delete(address);
    });
  }

  /** Closes every link. */
  close(): void {
    Array.from(this.#links.entries()).forEach(([address, link]) => this.#close(address, link));
  }

  #linkTo(address: string, now: number): OutgoingLink | undefined {
    const present = this.#links.get(address);
    if (present) {
      this.#links.delete(address);
      this.#links.set(address, present);
      return present;
    }
    const backOff = this.#backOffs.get(address);
    if (backOff && now < backOff.until) return undefined;
    // WebSocket throws for what is no address.
    if (!URL.canParse(`ws://${address}/`)) return undefined;
    this.#makeRoom();
    const link = new OutgoingLink(
      {
        address,
        secret: this.#options.secret,
        traffic: this.#options.traffic,
        onGone: (established) => this.#onGone(address, link, established),
      },
      now,
    );
    this.#links.set(address, link);
    return link;
  }

  #makeRoom(): void {
    if (this.#links.size < MAXIMUM_LINKS) return;
    const [oldest] = this.#links.entries();
    if (oldest) this.#close(...oldest);
  }

  #close(address: string, link: OutgoingLink): void {
    if (this.#links.get(address) === link) this.#links.delete(address);
    link.close();
  }

  #onGone(address: string, link: OutgoingLink, established: boolean): void {
    if (this.#links.get(address) === link) this.#links.delete(address);
    if (established) {
      this.#backOffs.delete(address);
      return;
    }
    const previous = this.#backOffs.get(address)?.delayMs ?? FIRST_BACK_OFF_MS / 2;
    const delayMs = Math.min(previous * 2, MAXIMUM_BACK_OFF_MS);
    if (this.#backOffs.size < MAXIMUM_BACK_OFFS) {
      this.#backOffs.set(address, { delayMs, until: this.#options.now() + delayMs });
    }
  }
}
