import type { Socket } from 'node:net';
import { askServer, type ServerCheck } from './askServer.ts';
import type { ConnectionPool } from './ConnectionPool.ts';
import {
  findTrustLimit,
  type Inquiry,
  type InquiryFinding,
  type LostConnection,
} from './Inquiry.ts';

type ConnectionState =
  | { readonly _tag: 'idle'; readonly unwatch: () => void }
  | { readonly _tag: 'asked'; readonly askedAt: number; readonly stop: () => void }
  /** Closed; kept while another answer may still show for how long its process had run. */
  | { readonly _tag: 'answered'; readonly askedAt: number };

/** A connection that is open beside those of the answers. */
interface WitnessConnection {
  readonly socket: Socket;
  readonly openedAt: number;
  /** Since when the process that accepted it is known to have run, in ms. */
  runsSince: number;
  state: ConnectionState;
}

interface PendingInquiry {
  readonly inquiry: Inquiry;
  readonly onFinding: (finding: InquiryFinding) => void;
  /** Whether the server refused a further connection meanwhile. */
  sawRefusal: boolean;
}

/** Open at a time: one that is asked, its successor, and one more for a server that answers late. */
const MAXIMUM_CONNECTIONS = 3;
/** A server that doesn't answer for this long on a connection is taken to answer on it no more. */
const ANSWER_TIMEOUT_MS = 5_000;
/** A connection that was lost sooner is replaced at the next renewal only: the server may want no more of them. */
const MINIMUM_LIFE_MS = 250;
/** Losses that may still concern an inquiry. */
const MAXIMUM_LOSSES = 8;

const isIdle = ({ state }: WitnessConnection): boolean => state._tag === 'idle';
const isAsked = ({ state }: WitnessConnection): boolean => state._tag === 'asked';
const isAnswered = ({ state }: WitnessConnection): boolean => state._tag === 'answered';
const isAskedSince = ({ state }: WitnessConnection, at: number): boolean =>
  state._tag !== 'idle' && state.askedAt >= at;

/**
 * Shows whether the process that gave an answer still runs, for all answers of one server. A connection belongs to the process
 * that accepted it, so an answer on one from before shows it. A server closes idle connections, and may close any after an
 * answer. So before the idle timeout a successor is opened, and only then the connection is asked: if it answers, one process
 * accepted both, and the successor takes its place.
 */
export class ServerWitness {
  readonly #pool: ConnectionPool;

  readonly #check: ServerCheck;

  readonly #onUnused: () => void;

  /** Answers under way that may need evidence. */
  #users = 0;

  /** Those of them for which the server may be asked while they go on. */
  #askingUsers = 0;

  /** In the order in which they were opened. */
  #connections: WitnessConnection[] = [];

  #losses: LostConnection[] = [];

  readonly #inquiries = new Set<PendingInquiry>();

  #stopOpening: (() => void) | undefined;

  #renewal: NodeJS.Timeout | undefined;

  /**
   * @param pool - opens connections, and gets those back that weren't asked
   * @param check - the server, and what to ask it
   * @param onUnused - called when nothing needs the witness any more
   */
  constructor(pool: ConnectionPool, check: ServerCheck, onUnused: () => void) {
    this.#pool = pool;
    this.#check = check;
    this.#onUnused = onUnused;
  }

  /**
   * Keeps evidence for an answer under way, from now on.
   *
   * @param mayAsk - whether the server may be asked meanwhile; otherwise the evidence lasts until its idle timeout
   * @returns a function that ends this; to be called once
   */
  attend(mayAsk: boolean): () => void {
    this.#users += 1;
    if (mayAsk) this.#askingUsers += 1;
    if (!this.#connections.some(isIdle)) this.#open();
    this.#scheduleRenewal();
    return () => {
      this.#users -= 1;
      if (mayAsk) this.#askingUsers -= 1;
      this.#closeIfUnused();
    };
  }

  /**
   * Finds whether a process still runs.
   *
   * @param inquiry - which process
   * @param onFinding - called once with the finding, possibly before this method returns
   * @returns a function that gives the inquiry up; `onFinding` isn't called after it
   */
  inquire(inquiry: Inquiry, onFinding: (finding: InquiryFinding) => void): () => void {
    const pending = { inquiry, onFinding, sawRefusal: false };
    this.#inquiries.add(pending);
    this.#pursue(pending);
    return () => {
      this.#inquiries.delete(pending);
      this.#closeIfUnused();
    };
  }

  /** Takes the next step of an inquiry. */
  #pursue(pending: PendingInquiry): void {
    const { at } = pending.inquiry;
    const limit = findTrustLimit(pending.inquiry, this.#losses);
    const trusted = this.#connections.filter(({ runsSince }) => runsSince < limit);
    const asked = trusted.filter((connection) => isAskedSince(connection, at));
    if (asked.some(isAnswered)) {
      this.#finish(pending, 'runs');
      return;
    }
    if (asked.length > 0) return;
    const idle = trusted.find(isIdle);
    if (idle !== undefined) this.#askOrSeekSpare(pending, idle);
    else if (trusted.some(isAsked)) this.#askSuccessor(pending, trusted);
    else this.#askPooled(pending, limit);
  }

  /**
   * Asks on a connection. If it is the last idle one, the other answers need a successor first: without room for one, the
   * inquiry waits for an answer that is still due.
   */
  #askOrSeekSpare(pending: PendingInquiry, connection: WitnessConnection): void {
    const isLast = this.#connections.filter(isIdle).length === 1;
    if (isLast && this.#users > 1) {
      if (this.#isFull() || this.#stopOpening !== undefined) return;
      if (!pending.sawRefusal) {
        this.#open();
        return;
      }
    }
    this.#ask(connection);
  }

  /** Asks on a connection that an answer which is still due on an older one will show to belong to the same process. */
  #askSuccessor(pending: PendingInquiry, predecessors: readonly WitnessConnection[]): void {
    const lastAskedAt = Math.max(
      ...predecessors.map(({ state }) => (state._tag === 'asked' ? state.askedAt : 0)),
    );
    const successors = this.#connections.filter(({ openedAt }) => openedAt <= lastAskedAt);
    if (successors.some((connection) => isAskedSince(connection, pending.inquiry.at))) return;
    const successor = successors.find(isIdle);
    if (successor !== undefined) this.#askOrSeekSpare(pending, successor);
  }

  #askPooled(pending: PendingInquiry, openedBefore: number): void {
    const socket = this.#pool.takeIdle(this.#check.address, openedBefore);
    if (socket !== undefined) {
      this.#ask(this.#watch(socket));
      return;
    }
    const wasAsked = this.#losses.some(({ at }) => at >= pending.inquiry.at);
    this.#finish(pending, wasAsked ? 'unanswered' : 'noConnection');
  }

  #pursueAll(): void {
    [...this.#inquiries].forEach((pending) => {
      if (this.#inquiries.has(pending)) this.#pursue(pending);
    });
    if (!this.#connections.some(isAsked))
      this.#connections = this.#connections.filter((connection) => !isAnswered(connection));
  }

  #finish(pending: PendingInquiry, finding: InquiryFinding): void {
    this.#inquiries.delete(pending);
    try {
      pending.onFinding(finding);
    } catch (error) {
      this.#pool.reportFault(error);
    }
    this.#closeIfUnused();
  }

  #isFull(): boolean {
    const open = this.#connections.filter((connection) => !isAnswered(connection));
    return open.length >= MAXIMUM_CONNECTIONS;
  }

  /** Opens a further connection, unless one is being opened or there are enough of them. */
  #open(onOpened: () => void = () => {}): void {
    if (this.#stopOpening !== undefined || this.#isFull()) return;
    let isSettled = false;
    const stop = this.#pool.connect(this.#check.address, true, (outcome) => {
      isSettled = true;
      this.#stopOpening = undefined;
      if (outcome._tag === 'connected') this.#watch(outcome.socket);
      else this.#inquiries.forEach((pending) => Object.assign(pending, { sawRefusal: true }));
      onOpened();
      this.#scheduleRenewal();
      this.#pursueAll();
    });
    if (!isSettled) this.#stopOpening = stop;
  }

  #watch(socket: Socket): WitnessConnection {
    const { servers } = this.#pool;
    const openedAt = this.#pool.openedAt(socket);
    const runsSince = this.#pool.serverRunsSince(socket);
    // An idle connection that brings bytes can't be trusted with an answer.
    const drop = (): void => this.#lose(socket);
    const recordClose = (): void =>
      servers.recordIdleClose(this.#check.address, this.#pool.now() - openedAt);
    socket.on('end', recordClose).on('end', drop).on('data', drop).on('close', drop);
    socket.resume();
    const unwatch = (): void => {
      socket.off('end', recordClose).off('end', drop).off('data', drop).off('close', drop);
    };
    const connection: WitnessConnection = {
      ...{ socket, openedAt, runsSince },
      state: { _tag: 'idle', unwatch },
    };
    this.#connections.push(connection);
    return connection;
  }

  /** Takes note of a connection that ended without an answer. */
  #lose(socket: Socket): void {
    const connection = this.#connections.find((one) => one.socket === socket);
    if (connection === undefined) return;
    if (connection.state._tag === 'idle') connection.state.unwatch();
    socket.destroy();
    this.#connections = this.#connections.filter((one) => one !== connection);
    const { runsSince, openedAt } = connection;
    const now = this.#pool.now();
    this.#losses = [...this.#losses, { at: now, runsSince }].slice(-MAXIMUM_LOSSES);
    const isWanted = this.#users > 0 && !this.#connections.some(isIdle);
    if (isWanted && now - openedAt >= MINIMUM_LIFE_MS) this.#open();
    this.#pursueAll();
  }

  #ask(connection: WitnessConnection): void {
    const { socket, state } = connection;
    if (state._tag !== 'idle') return;
    state.unwatch();
    const askedAt = this.#pool.now();
    const stop = askServer(socket, this.#check, ANSWER_TIMEOUT_MS, (headers) => {
      if (headers === undefined) {
        this.#lose(socket);
        return;
      }
      this.#pool.servers.recordIdleTimeout(this.#check.address, headers);
      Object.assign(connection, { state: { _tag: 'answered', askedAt } });
      this.#recordProcess(askedAt, connection.runsSince);
      this.#pursueAll();
    });
    Object.assign(connection, { state: { _tag: 'asked', askedAt, stop } });
  }

  /** A process that answers has accepted all connections that were open when it was asked. */
  #recordProcess(askedAt: number, runsSince: number): void {
    this.#connections
      .filter((connection) => connection.openedAt <= askedAt && connection.runsSince > runsSince)
      .forEach((connection) => {
        Object.assign(connection, { runsSince });
        this.#pool.recordServerRunsSince(connection.socket, runsSince);
      });
  }

  #scheduleRenewal(): void {
    if (this.#renewal !== undefined || this.#askingUsers === 0) return;
    const afterMs = this.#pool.servers.idleTimeoutMs(this.#check.address) / 2;
    this.#renewal = setTimeout(() => {
      this.#renewal = undefined;
      this.#renew();
      this.#scheduleRenewal();
    }, afterMs).unref();
  }

  /** Replaces the oldest idle connection, before the server closes it. */
  #renew(): void {
    const askOldest = (): void => {
      const [oldest, successor] = this.#connections.filter(isIdle);
      if (oldest !== undefined && successor !== undefined) this.#ask(oldest);
    };
    if (this.#connections.filter(isIdle).length > 1) askOldest();
    else this.#open(askOldest);
  }

  #closeIfUnused(): void {
    if (this.#users > 0 || this.#inquiries.size > 0) return;
    clearTimeout(this.#renewal);
    this.#stopOpening?.();
    this.#connections.forEach(({ socket, openedAt, state }) => {
      if (state._tag === 'asked') state.stop();
      if (state._tag !== 'idle') return;
      state.unwatch();
      this.#pool.release(this.#check.address, socket, openedAt);
    });
    this.#renewal = undefined;
    this.#stopOpening = undefined;
    this.#connections = [];
    this.#losses = [];
    this.#onUnused();
  }
}
