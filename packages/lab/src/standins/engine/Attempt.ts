import { AttemptState } from './enums.js';

import type { Answer } from './answerText.js';

/** Receives an attempt's tokens. */
export interface AnswerSink {
  readonly writeToken: (number: number, text: string) => void;
  /** Closes a whole answer. */
  readonly finish: () => void;
  /** Ends an answer that is not whole. */
  readonly cut: () => void;
}

/** What an attempt is made of. */
export interface AttemptOptions {
  readonly id: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly promptHash: number;
  readonly prefixBlocks: readonly number[];
  readonly answer: Answer;
  readonly resumeAt: number;
  readonly sink: AnswerSink;
  /** The request crashes the engine as soon as it runs. */
  readonly isPoisoned: boolean;
}

/** One attempt inside an engine. */
export class Attempt {
  readonly options: AttemptOptions;
  state = AttemptState.Queued;
  /** Number of the next token. */
  next: number;
  /** Whether the prompt has been read; a paused attempt keeps it. */
  isPrefilled = false;

  constructor(options: AttemptOptions) {
    this.options = options;
    this.next = options.resumeAt;
  }

  get isComplete(): boolean {
    return this.next >= this.options.answer.length;
  }

  /** Makes the next token and hands it on. */
  step(): void {
    const { answer, sink } = this.options;
    sink.writeToken(this.next, answer.getToken(this.next));
    this.next += 1;
  }
}
