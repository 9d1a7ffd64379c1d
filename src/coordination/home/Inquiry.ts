import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../state/Member.ts';
import type { RequestStatus } from '../../state/RequestOutcome.ts';
import { owningIncarnation } from '../../state/RequestId.ts';
import type { Action } from '../Action.ts';

/** Time for a peer to answer a question. */
const ANSWER_MS = 1_000;
/** Longest time that one inquiry may take, the wait for a home's silence included. */
const INQUIRY_MS = 8_000;

type StatusReply = Extract<PeerMessage, { _tag: 'statusReply' }>;
type VoidReply = Extract<PeerMessage, { _tag: 'voidReply' }>;
type Finding = VoidReply['finding'];

/** What an inquiry needs to know of members and of this process's own schedulers. */
export interface InquirySurroundings {
  readonly incarnation: () => string;
  readonly members: () => readonly Member[];
  /** Time since a member was last heard, infinite where it never was. */
  readonly silenceMs: (incarnation: string, now: number) => number;
  /** Silence after which an incarnation surely dispatches nothing any more, ms. */
  readonly requiredSilenceMs: number;
  /** What this process's own schedulers know of an id; a waiting one is void from then on. */
  readonly voidLocally: (id: string, now: number) => Finding;
  readonly randomRetryAfterMs: () => number;
}

type Stage =
  | { readonly _tag: 'asking'; readonly member: string; readonly until: number }
  | { readonly _tag: 'silence' }
  | { readonly _tag: 'voiding'; readonly until: number };

interface Question {
  readonly number: number;
  readonly id: string;
  readonly startedAt: number;
  readonly onResolved: (status: RequestStatus | undefined) => void;
  readonly findings: Map<string, Finding>;
  stage: Stage;
  /** Members whose findings are needed before "not run" is certain. */
  requiredMembers: readonly string[];
}

const UNKNOWN: RequestStatus = {
  _tag: 'ended',
  outcome: { _tag: 'unknown', reason: 'entry_lost' },
};

/**
 * Finds out what became of a request of another home. "Not run" is said only where a peer holds the
 * request as never granted, no other member has granted it, and the home has been silent for so long
 * that its lease has ended.
 */
export class OutcomeResolver {
  readonly #surroundings: InquirySurroundings;

  readonly #questions = new Map<number, Question>();

  #next = 1;

  /** @param surroundings - what the inquiry asks of the machines beside it */
  constructor(surroundings: InquirySurroundings) {
    this.#surroundings = surroundings;
  }

  /**
   * Starts an inquiry.
   *
   * @param id - a request id whose home is not this process
   * @param now - present monotonic time, ms
   * @param done - told the status once, or undefined where nothing at all is known of the home
   * @returns actions to carry out
   */
  resolve(id: string, now: number, done: (status: RequestStatus | undefined) => void): Action[] {
    const home = this.#surroundings
      .members()
      .find((member) => member.incarnation === owningIncarnation(id));
    if (home === undefined) {
      done(undefined);
      return [];
    }
    const question: Question = {
      number: this.#next,
      id,
      startedAt: now,
      onResolved: done,
      findings: new Map(),
      stage: { _tag: 'silence' },
      requiredMembers: [],
    };
    this.#next += 1;
    this.#questions.set(question.number, question);
    const informed = this.#informed(home);
    if (informed === undefined) return this.#awaitSilence(question, now);
    question.stage = { _tag: 'asking', member: informed, until: now + ANSWER_MS };
    const message = { _tag: 'statusRequest', question: question.number, id } as const;
    return [{ _tag: 'send', to: informed, message }];
  }

  /**
   * Takes a home's own answer.
   *
   * @param from - the answering member
   * @param reply - its answer
   * @param now - present monotonic time, ms
   * @returns actions to carry out
   */
  receiveStatusReply(from: string, reply: StatusReply, now: number): Action[] {
    const question = this.#questions.get(reply.question);
    if (question?.stage._tag !== 'asking' || question.stage.member !== from) return [];
    if (reply.status === undefined) return this.#awaitSilence(question, now);
    this.#finish(question, reply.status);
    return [];
  }

  /**
   * Takes one member's finding.
   *
   * @param from - the answering member
   * @param reply - its finding
   * @returns actions to carry out
   */
  receiveVoidReply(from: string, reply: VoidReply): Action[] {
    const question = this.#questions.get(reply.question);
    if (question?.stage._tag !== 'voiding') return [];
    question.findings.set(from, reply.finding);
    this.#conclude(question);
    return [];
  }

  /**
   * Acts on passed time.
   *
   * @param now - present monotonic time, ms
   * @returns actions to carry out
   */
  tick(now: number): Action[] {
    return [...this.#questions.values()].flatMap((question) => this.#advance(question, now));
  }

  #advance(question: Question, now: number): Action[] {
    if (now - question.startedAt > INQUIRY_MS) {
      this.#finish(question, UNKNOWN);
      return [];
    }
    const { stage } = question;
    switch (stage._tag) {
      case 'asking':
        return now >= stage.until ? this.#awaitSilence(question, now) : [];
      case 'silence':
        return this.#awaitSilence(question, now);
      case 'voiding':
        if (now >= stage.until) this.#finish(question, UNKNOWN);
        return [];
      default:
        return stage satisfies never;
    }
  }

  /** The member that can answer for a home: itself, or the process that goes on in its place. */
  #informed(home: Member): string | undefined {
    const self = this.#surroundings.incarnation();
    return this.#surroundings
      .members()
      .find(
        ({ incarnation, peerAddress, status }) =>
          (status === 'alive' || status === 'suspect') &&
          incarnation !== self &&
          (incarnation === home.incarnation || peerAddress === home.peerAddress),
      )?.incarnation;
  }

  #awaitSilence(question: Question, now: number): Action[] {
    const {
      silenceMs: silentMs,
      requiredSilenceMs: silenceNeededMs,
      members,
      incarnation,
      voidLocally: findLocally,
    } = this.#surroundings;
    const home = owningIncarnation(question.id);
    question.stage = { _tag: 'silence' };
    if (silentMs(home, now) < silenceNeededMs) return [];
    const others = members().filter(
      (member) =>
        member.incarnation !== home &&
        member.incarnation !== incarnation() &&
        member.status !== 'left',
    );
    question.requiredMembers = others.map((member) => member.incarnation);
    question.stage = { _tag: 'voiding', until: now + ANSWER_MS };
    question.findings.set(incarnation(), findLocally(question.id, now));
    this.#conclude(question);
    if (!this.#questions.has(question.number)) return [];
    const message = { _tag: 'voidRequest', question: question.number, id: question.id } as const;
    return question.requiredMembers.map((to) => ({ _tag: 'send', to, message }));
  }

  #conclude(question: Question): void {
    const findings = [...question.findings.values()];
    if (findings.some((finding) => finding === 'granted' || finding === 'home_alive')) {
      this.#finish(question, UNKNOWN);
      return;
    }
    if (!question.requiredMembers.every((member) => question.findings.has(member))) return;
    // "Nothing" from everyone proves nothing: the home may have granted the request to itself.
    if (!findings.includes('waiting')) {
      this.#finish(question, UNKNOWN);
      return;
    }
    const retryAfterMs = Math.ceil(this.#surroundings.randomRetryAfterMs());
    this.#finish(question, {
      _tag: 'ended',
      outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs },
    });
  }

  #finish(question: Question, status: RequestStatus): void {
    this.#questions.delete(question.number);
    question.onResolved(status);
  }
}
