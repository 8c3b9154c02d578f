import type { Fingerprint } from '@sardinegrade/common';
import type { EngineRun, KeyHolder, Route, StreamOrigin } from '@sardinegrade/routing';
import type { ClaimedConnection } from '../connections/index.js';
import type { UnansweredSend } from '../quarantine/index.js';
import type { CallerRequest } from '../types.js';
import type { WorkerRecord } from '../workers/index.js';
import type { SendPace } from './SendPace.js';
import type { Send } from './sendToWorker.js';
import type { SilenceTimer } from './SilenceTimer.js';

/** A caller's request that has been read completely and passed all checks. */
export interface AdmittedRequest {
  readonly caller: CallerRequest;
  readonly route: Route;
  /** Where the stream began that the caller resumes; undefined if it resumes none. */
  readonly origin: StreamOrigin | undefined;
  /** Workspace of the caller's API key; undefined for requests without a known key. */
  readonly holder: KeyHolder | undefined;
  readonly body: Buffer | undefined;
  /** Identifies the request when the caller sends it again. */
  readonly fingerprint: Fingerprint;
  readonly arrivedAtMs: number;
  /** Time from the arrival to the deadline, in milliseconds. */
  readonly timeoutMs: number;
}

/** A send in progress and the resources that it uses at its worker. */
export interface ActiveSend {
  readonly record: WorkerRecord;
  readonly claimed: ClaimedConnection;
  /** Undefined for plain services. */
  readonly run: EngineRun | undefined;
  /** Undefined for plain services. */
  readonly pace: SendPace | undefined;
  /** Whether the answer is a stream of events. */
  readonly isStream: boolean;
  /** Undefined for prompts without shared parts. */
  readonly unanswered: UnansweredSend | undefined;
  readonly startedAtMs: number;
  send?: Send;
  readonly silenceTimer: SilenceTimer;
  /** Whether a complete event has been received. */
  hasFirstEvent: boolean;
}
