import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createDispatcher } from './createDispatcher.js';
import { DispatchActionKind, DispatchPolicy, ReleaseReason } from './enums.js';
import { buildAsk, buildConfiguredEvent, toAskEvent, toReleaseEvent } from './testing/index.js';

const POLICIES = [DispatchPolicy.Tiered, DispatchPolicy.Naive];

for (const policy of POLICIES) {
  test(`${policy}: grants do not exceed the slots, and a release grants the next request`, () => {
    const dispatcher = createDispatcher({ policy, random: () => 0.5 });
    dispatcher.handle(buildConfiguredEvent({ engines: 1, slots: 1 }), 0);
    const first = dispatcher.handle(toAskEvent(buildAsk({ askId: 'a' })), 0);
    const second = dispatcher.handle(toAskEvent(buildAsk({ askId: 'b' })), 0);
    assert.deepEqual(
      first.map((action) => action.kind),
      [DispatchActionKind.Grant],
    );
    assert.deepEqual(second, []);
    const third = dispatcher.handle(toReleaseEvent('a', ReleaseReason.Finished), 1);
    assert.deepEqual(
      third.map((action) => 'askId' in action && action.askId),
      ['b'],
    );
  });
}

test('the tiered policy serves the higher tier first, the naive one the earlier request', () => {
  const serveAfterRelease = (policy: DispatchPolicy) => {
    const dispatcher = createDispatcher({ policy, random: () => 0.5 });
    dispatcher.handle(buildConfiguredEvent({ engines: 1, slots: 1 }), 0);
    dispatcher.handle(toAskEvent(buildAsk({ askId: 'running', className: 'query' })), 0);
    dispatcher.handle(toAskEvent(buildAsk({ askId: 'free', className: 'history' })), 0);
    dispatcher.handle(toAskEvent(buildAsk({ askId: 'paying', className: 'query' })), 0);
    return dispatcher
      .handle(toReleaseEvent('running', ReleaseReason.Finished), 1)
      .map((action) => 'askId' in action && action.askId);
  };
  assert.deepEqual(serveAfterRelease(DispatchPolicy.Tiered), ['paying']);
  assert.deepEqual(serveAfterRelease(DispatchPolicy.Naive), ['free']);
});
