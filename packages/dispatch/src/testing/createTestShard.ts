import { createDispatcher } from '../createDispatcher.js';
import { DispatchActionKind, DispatchEventKind, DispatchPolicy, ReleaseReason } from '../enums.js';
import { createRandomSource } from '../random.js';
import {
  buildAsk,
  buildConfiguredEvent,
  toAskEvent,
  toEngineId,
  toReleaseEvent,
} from './builders.js';

import type { DispatchAction, DispatchEvent } from '../types.js';
import type { AskShape, ConfigurationShape } from './builders.js';

/**
 * Creates a configured tiered dispatcher with shorthand functions for common events.
 *
 * @param shape - engines, slots and classes
 * @returns functions that send an event and return the resulting actions
 */
export const createTestShard = (shape: ConfigurationShape) => {
  const dispatcher = createDispatcher({
    policy: DispatchPolicy.Tiered,
    random: createRandomSource(1),
  });
  const send = (event: DispatchEvent, nowMs = 0) => dispatcher.handle(event, nowMs);
  send(buildConfiguredEvent(shape));
  const ask = (askShape: AskShape, nowMs = 0) => send(toAskEvent(buildAsk(askShape)), nowMs);
  const release = (askId: string, nowMs = 0, reason = ReleaseReason.Finished) =>
    send(toReleaseEvent(askId, reason, { tokens: 100, tokenIntervalMs: 20 }), nowMs);
  const tick = (nowMs: number) => send({ kind: DispatchEventKind.Tick }, nowMs);
  return { ask, release, send, tick, describe: dispatcher.describe };
};

/**
 * Formats actions as short texts for assertions.
 *
 * @param actions - the actions
 * @returns kind, preemption mode and ask identifier of each action
 */
export const describeActions = (actions: readonly DispatchAction[]) =>
  actions.map((action) => {
    const target = 'askId' in action ? action.askId : '';
    const mode = action.kind === DispatchActionKind.Preempt ? `:${action.mode}` : '';
    return `${action.kind}${mode} ${target}`.trim();
  });

/**
 * Finds the refusal of an ask.
 *
 * @param actions - actions of the dispatcher
 * @param askId - identifier of the refused ask
 * @returns the refusal, or undefined if there is none
 */
export const findRefusal = (actions: readonly DispatchAction[], askId: string) =>
  actions.find((action) => action.kind === DispatchActionKind.Refuse && action.askId === askId);

/**
 * Builds the event of a lost engine.
 *
 * @param index - the engine's number
 * @returns the event
 */
export const buildLostEvent = (index: number): DispatchEvent => ({
  kind: DispatchEventKind.UpstreamLost,
  upstream: toEngineId(index),
});

/**
 * Builds the result of a probe.
 *
 * @param index - the engine's number
 * @param isHealthy - whether a new connection to the engine succeeded
 * @returns the event
 */
export const buildProbedEvent = (index: number, isHealthy = true): DispatchEvent => ({
  kind: DispatchEventKind.UpstreamProbed,
  upstream: toEngineId(index),
  isHealthy,
});
