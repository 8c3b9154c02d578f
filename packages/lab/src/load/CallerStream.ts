import { createParser } from 'eventsource-parser';

import type { RunState } from '@sardinegrade/common';
import type { EventSourceParser } from 'eventsource-parser';

/** Error of a response body or of an error event in its stream. */
export interface CallerError {
  readonly code: number | undefined;
  readonly run: RunState | undefined;
}

interface AnswerChunk {
  readonly error?: { readonly code?: number; readonly run?: RunState };
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

/** Parses the event stream of one answer and measures the times of its tokens. */
export class CallerStream {
  text = '';
  tokens = 0;
  hasClosingMarker = false;
  error: CallerError | undefined;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs = 0;
  longestIntervalMs = 0;
  private readonly parser: EventSourceParser;
  private readonly getNowMs: () => number;
  private readonly decoder = new TextDecoder();

  constructor(getNowMs: () => number) {
    this.getNowMs = getNowMs;
    this.parser = createParser({ onEvent: ({ data }) => this.handleData(data) });
  }

  /** Mean interval between tokens; undefined for fewer than two tokens. */
  get tokenIntervalMs(): number | undefined {
    if (this.firstTokenAtMs === undefined || this.tokens < 2) return undefined;
    return (this.lastTokenAtMs - this.firstTokenAtMs) / (this.tokens - 1);
  }

  push(bytes: Uint8Array): void {
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
  }

  private handleData(data: string): void {
    if (data === '[DONE]') {
      this.hasClosingMarker = true;
      return;
    }
    const chunk = JSON.parse(data) as AnswerChunk;
    if (chunk.error !== undefined) {
      this.error = { code: chunk.error.code, run: chunk.error.run };
      return;
    }
    const text = chunk.choices?.[0]?.delta?.content ?? '';
    if (text !== '') this.handleToken(text);
  }

  private handleToken(text: string): void {
    const nowMs = this.getNowMs();
    if (this.firstTokenAtMs === undefined) this.firstTokenAtMs = nowMs;
    else this.longestIntervalMs = Math.max(this.longestIntervalMs, nowMs - this.lastTokenAtMs);
    this.lastTokenAtMs = nowMs;
    this.tokens += 1;
    this.text += text;
  }
}
