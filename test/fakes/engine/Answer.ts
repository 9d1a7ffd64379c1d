import type { ServerResponse } from 'node:http';
import type { Run } from './Run.ts';

/** A fault that strikes one answer. */
export type AnswerFault = 'silence' | 'cross' | 'cut' | 'truncate' | undefined;

/** Sends messages with the network's delay, in order. */
export type Delayed = (send: () => void) => void;

const CROSSED_ID = '00000000crossed.0';

const usageOf = (run: Run) => ({
  prompt_tokens: run.promptTokens,
  completion_tokens: run.told,
  total_tokens: run.promptTokens + run.told,
  prompt_tokens_details: { cached_tokens: run.cachedTokens },
});

/** One connection's view of a run: a stream of events from some index on, or the whole answer. */
export class Answer {
  private headSent = false;

  private chunksSent: number;

  private broken = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly run: Run,
    afterIndex: number,
    private readonly fault: AnswerFault,
    private readonly delayed: Delayed,
    private readonly silence: () => void,
  ) {
    this.chunksSent = afterIndex;
  }

  /** Sends what the run has generated since the last call. */
  tell(): void {
    if (this.broken || !this.run.streamed) return;
    this.head('text/event-stream');
    while (this.chunksSent < this.run.chunks.length) {
      const content = this.run.chunks[this.chunksSent] ?? '';
      this.chunksSent += 1;
      this.event(this.chunksSent, { delta: { content }, finish_reason: null });
      this.strike();
    }
  }

  end(): void {
    if (this.run.streamed) this.endStream();
    else this.endWhole();
  }

  fail(status: number): void {
    if (this.headSent) this.cut();
    else {
      const body = JSON.stringify({ error: { code: 'engine_failed', message: 'engine failed' } });
      this.delayed(() => {
        this.response.writeHead(status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          'x-request-id': this.run.id,
        });
        this.response.end(body);
      });
    }
  }

  cut(): void {
    this.broken = true;
    this.delayed(() => this.response.destroy());
  }

  private get id(): string {
    return this.fault === 'cross' ? CROSSED_ID : this.run.id;
  }

  private head(contentType: string, headers: Readonly<Record<string, string | number>> = {}): void {
    if (this.headSent) return;
    this.headSent = true;
    const { id } = this.run;
    this.delayed(() =>
      this.response.writeHead(200, { 'content-type': contentType, 'x-request-id': id, ...headers }),
    );
  }

  private write(text: string): void {
    this.delayed(() => this.response.write(text));
  }

  private event(index: number, choice: object, usage: object = {}): void {
    const chunk = {
      id: this.id,
      object: 'chat.completion.chunk',
      model: this.run.version,
      choices: [{ index: 0, ...choice }],
      ...usage,
    };
    this.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
  }

  private strike(): void {
    if (this.fault === 'cut') this.cut();
    if (this.fault === 'silence') {
      this.broken = true;
      this.delayed(this.silence);
    }
  }

  private endStream(): void {
    this.tell();
    if (this.broken) return;
    if (this.fault === 'truncate') {
      this.delayed(() => this.response.end());
      return;
    }
    this.event(
      this.run.chunks.length + 1,
      { delta: {}, finish_reason: 'length' },
      { usage: usageOf(this.run) },
    );
    this.write('data: [DONE]\n\n');
    this.delayed(() => this.response.end());
  }

  private endWhole(): void {
    const body = JSON.stringify({
      id: this.id,
      object: 'chat.completion',
      model: this.run.version,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.run.chunks.join('') },
          finish_reason: 'length',
        },
      ],
      usage: usageOf(this.run),
    });
    if (this.fault === 'silence') {
      this.delayed(this.silence);
      return;
    }
    this.head('application/json', { 'content-length': Buffer.byteLength(body) });
    if (this.fault === 'cut' || this.fault === 'truncate') {
      this.write(body.slice(0, body.length / 2));
      this.cut();
    } else this.delayed(() => this.response.end(body));
  }
}
