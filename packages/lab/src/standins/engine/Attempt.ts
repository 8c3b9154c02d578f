import { AttemptState } from './enums.js';

import type { Answer } from './answerText.js';

/** Sends an attempt's tokens to the client. */
export interface AnswerSink {
  readonly writeToken: (index: number, text: string) => void;
  /** Ends a complete answer. */
  readonly finish: () => void;
  /** Ends an incomplete answer. */
  readonly abort: () => void;
}

/** Properties of an attempt. */
export interface AttemptOptions {
  readonly id: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly promptHash: number;
  readonly prefixBlocks: readonly number[];
  readonly answer: Answer;
  readonly resumeAt: number;
  readonly sink: AnswerSink;
  /** Whether the request's body contains the crash marker; the engine crashes when the attempt gets a slot. */
  readonly hasCrashMarker: boolean;
}

/** An attempt that an engine has accepted, with its state and progress. */
export class Attempt {
  readonly options: AttemptOptions;
  state = AttemptState.Queued;
  /** Index of the next token. */
  nextToken: number;
  /** Whether the prompt has been prefilled; remains true while the attempt is paused. */
  isPrefilled = false;

  constructor(options: AttemptOptions) {
    this.options = options;
    this.nextToken = options.resumeAt;
  }

  get isComplete(): boolean {
    return this.nextToken >= this.options.answer.length;
  }

  /** Generates the next token and writes it to the sink. */
  emitNextToken(): void {
    const { answer, sink } = this.options;
    sink.writeToken(this.nextToken, answer.getToken(this.nextToken));
    this.nextToken += 1;
  }
}
