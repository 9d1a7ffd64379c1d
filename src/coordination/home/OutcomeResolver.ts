import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../state/Member.ts';
import type { RequestStatus } from '../../state/RequestOutcome.ts';
import { owningIncarnation } from '../../state/RequestId.ts';
import type { Action } from '../Action.ts';

/** Time within which peers must reply. */
const REPLY_TIMEOUT_MS = 1_000;
/** Time limit of one resolution, including the wait until the home has been silent for long enough. */
const RESOLUTION_TIMEOUT_MS = 8_000;

type StatusReply = Extract<PeerMessage, { _tag: 'statusReply' }>;
type VoidReply = Extract<PeerMessage, { _tag: 'voidReply' }>;
type Finding = VoidReply['finding'];

/** What the resolution of outcomes needs from membership and from this process's own schedulers. */
export interface OutcomeResolverDependencies {
  readonly incarnation: () => string;
  readonly members: () => readonly Member[];
  /** Time since the last message from a member, ms; infinite where there was none. */
  readonly silenceMs: (incarnation: string, now: number) => number;
  /** Silence after which the lease of an incarnation has certainly ended, ms. */
  readonly requiredSilenceMs: number;
  /**
   * Voids an id in this process's own schedulers, so that they never grant it, unless its home may be alive.
   * Returns what they knew of the request.
   */
  readonly voidLocally: (id: string, now: number) => Finding;
  /** Retry delay for a caller, ms, randomised so that callers don't retry at the same time. */
  readonly randomRetryAfterMs: () => number;
}

type Stage =
  | { readonly _tag: 'asking'; readonly member: string; readonly until: number }
  | { readonly _tag: 'silence' }
  | { readonly _tag: 'voiding'; readonly until: number };

/** One resolution in progress; its number identifies it in messages to peers. */
interface Question {
  readonly number: number;
  readonly id: string;
  readonly startedAt: number;
  readonly onResolved: (status: RequestStatus | undefined) => void;
  readonly findings: Map<string, Finding>;
  stage: Stage;
  /** Members whose findings are required before "not run" is certain. */
  requiredMembers: readonly string[];
}

const UNKNOWN_OUTCOME: RequestStatus = {
  _tag: 'ended',
  outcome: { _tag: 'unknown', reason: 'entry_lost' },
};

/**
 * Resolves the outcome of a request whose home is another process. "Not run" is reported only where a
 * member holds the request as waiting, no member has granted it, and the home has been silent for so
 * long that its lease has ended.
 */
export class OutcomeResolver {
  readonly #dependencies: OutcomeResolverDependencies;

  readonly #questions = new Map<number, Question>();

  #nextNumber = 1;

  /** @param dependencies - membership and the schedulers of this process */
  constructor(dependencies: OutcomeResolverDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Starts to resolve the outcome of a request.
   *
   * @param id - a request id whose home is not this process
   * @param now - present monotonic time, ms
   * @param onResolved - called once with the status, or with undefined where the home is not a known member
   * @returns actions to carry out
   */
  resolve(
    id: string,
    now: number,
    onResolved: (status: RequestStatus | undefined) => void,
  ): Action[] {
    const home = this.#dependencies
      .members()
      .find((member) => member.incarnation === owningIncarnation(id));
    if (home === undefined) {
      onResolved(undefined);
      return [];
    }
    const question: Question = {
      number: this.#nextNumber,
      id,
      startedAt: now,
      onResolved,
      findings: new Map(),
      stage: { _tag: 'silence' },
      requiredMembers: [],
    };
    this.#nextNumber += 1;
    this.#questions.set(question.number, question);
    const responder = this.#findResponder(home);
    if (responder === undefined) return this.#voidAfterSilence(question, now);
    question.stage = { _tag: 'asking', member: responder, until: now + REPLY_TIMEOUT_MS };
    const message = { _tag: 'statusRequest', question: question.number, id } as const;
    return [{ _tag: 'send', to: responder, message }];
  }

  /**
   * Receives a status from the home or from its next incarnation.
   *
   * @param from - incarnation of the replying member
   * @param reply - its reply
   * @param now - present monotonic time, ms
   * @returns actions to carry out
   */
  receiveStatusReply(from: string, reply: StatusReply, now: number): Action[] {
    const question = this.#questions.get(reply.question);
    if (question?.stage._tag !== 'asking' || question.stage.member !== from) return [];
    if (reply.status === undefined) return this.#voidAfterSilence(question, now);
    this.#finish(question, reply.status);
    return [];
  }

  /**
   * Receives the finding of one member.
   *
   * @param from - incarnation of the replying member
   * @param reply - its reply
   * @returns actions to carry out
   */
  receiveVoidReply(from: string, reply: VoidReply): Action[] {
    const question = this.#questions.get(reply.question);
    if (question?.stage._tag !== 'voiding') return [];
    question.findings.set(from, reply.finding);
    this.#concludeFromFindings(question);
    return [];
  }

  /**
   * Advances every question whose wait is over, and ends those that have reached the time limit.
   *
   * @param now - present monotonic time, ms
   * @returns actions to carry out
   */
  tick(now: number): Action[] {
    return [...this.#questions.values()].flatMap((question) => this.#advance(question, now));
  }

  #advance(question: Question, now: number): Action[] {
    if (now - question.startedAt > RESOLUTION_TIMEOUT_MS) {
      this.#finish(question, UNKNOWN_OUTCOME);
      return [];
    }
    const { stage } = question;
    switch (stage._tag) {
      case 'asking':
        return now >= stage.until ? this.#voidAfterSilence(question, now) : [];
      case 'silence':
        return this.#voidAfterSilence(question, now);
      case 'voiding':
        if (now >= stage.until) this.#finish(question, UNKNOWN_OUTCOME);
        return [];
      default:
        return stage satisfies never;
    }
  }

  /** Finds the member that knows the status: the home, or the next incarnation of the same process. */
  #findResponder(home: Member): string | undefined {
    const self = this.#dependencies.incarnation();
    return this.#dependencies
      .members()
      .find(
        ({ incarnation, peerAddress, status }) =>
          (status === 'alive' || status === 'suspect') &&
          incarnation !== self &&
          (incarnation === home.incarnation || peerAddress === home.peerAddress),
      )?.incarnation;
  }

  #voidAfterSilence(question: Question, now: number): Action[] {
    const { silenceMs, requiredSilenceMs, members, incarnation, voidLocally } = this.#dependencies;
    const home = owningIncarnation(question.id);
    question.stage = { _tag: 'silence' };
    if (silenceMs(home, now) < requiredSilenceMs) return [];
    const others = members().filter(
      (member) =>
        member.incarnation !== home &&
        member.incarnation !== incarnation() &&
        member.status !== 'left',
    );
    question.requiredMembers = others.map((member) => member.incarnation);
    question.stage = { _tag: 'voiding', until: now + REPLY_TIMEOUT_MS };
    question.findings.set(incarnation(), voidLocally(question.id, now));
    this.#concludeFromFindings(question);
    if (!this.#questions.has(question.number)) return [];
    const message = { _tag: 'voidRequest', question: question.number, id: question.id } as const;
    return question.requiredMembers.map((to) => ({ _tag: 'send', to, message }));
  }

  #concludeFromFindings(question: Question): void {
    const findings = [...question.findings.values()];
    if (findings.some((finding) => finding === 'granted' || finding === 'home_alive')) {
      this.#finish(question, UNKNOWN_OUTCOME);
      return;
    }
    if (!question.requiredMembers.every((member) => question.findings.has(member))) return;
    // If no member knows the request, it may still have run: the home may have granted it to itself.
    if (!findings.includes('waiting')) {
      this.#finish(question, UNKNOWN_OUTCOME);
      return;
    }
    const retryAfterMs = Math.ceil(this.#dependencies.randomRetryAfterMs());
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
