import { createDispatcher } from '../createDispatcher.js';
import { DispatchActionKind, DispatchEventKind, DispatchPolicy, ReleaseReason } from '../enums.js';
import { createRandomSource } from '../random.js';
import { buildAsk, buildConfigured, toAskEvent, toEngineId, toReleaseEvent } from './builders.js';

import type { DispatchAction, DispatchEvent } from '../types.js';
import type { AskShape, ConfigurationShape } from './builders.js';

/**
 * Creates a configured tiered dispatcher with short forms of the usual events.
 *
 * @param shape - engines, slots and classes
 * @returns functions that send an event and give the actions
 */
export const createTestShard = (shape: ConfigurationShape) => {
  const dispatcher = createDispatcher({
    policy: DispatchPolicy.Tiered,
    random: createRandomSource(1),
  });
  const send = (event: DispatchEvent, nowMs = 0) => dispatcher.handle(event, nowMs);
  send(buildConfigured(shape));
  const ask = (askShape: AskShape, nowMs = 0) => send(toAskEvent(buildAsk(askShape)), nowMs);
  const release = (askId: string, nowMs = 0, reason = ReleaseReason.Finished) =>
    send(toReleaseEvent(askId, reason, { tokens: 100, tokenIntervalMs: 20 }), nowMs);
  const tick = (nowMs: number) => send({ kind: DispatchEventKind.Tick }, nowMs);
  return { ask, release, send, tick, describe: dispatcher.describe };
};

/**
 * Renders actions as short texts.
 *
 * @param actions - the actions
 * @returns kind, mode and ask of each
 */
export const listKinds = (actions: readonly DispatchAction[]) =>
  actions.map((action) => {
    const target = 'askId' in action ? action.askId : '';
    const mode = action.kind === DispatchActionKind.Preempt ? `:${action.mode}` : '';
    return `${action.kind}${mode} ${target}`.trim();
  });

/**
 * Finds the refusal of an ask.
 *
 * @param actions - the actions
 * @param askId - the ask
 * @returns the refusal, or undefined
 */
export const findRefusal = (actions: readonly DispatchAction[], askId: string) =>
  actions.find((action) => action.kind === DispatchActionKind.Refuse && action.askId === askId);

/**
 * Builds the event of an engine's death.
 *
 * @param index - the engine's number
 * @returns the event
 */
export const buildLost = (index: number): DispatchEvent => ({
  kind: DispatchEventKind.UpstreamLost,
  upstream: toEngineId(index),
});

/**
 * Builds the result of a probe.
 *
 * @param index - the engine's number
 * @param isHealthy - whether a fresh connection worked
 * @returns the event
 */
export const buildProbed = (index: number, isHealthy = true): DispatchEvent => ({
  kind: DispatchEventKind.UpstreamProbed,
  upstream: toEngineId(index),
  isHealthy,
});
