import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  EngineHealth,
  EngineHealthEvent,
  RequestEvent,
  RequestState,
  SuspicionEvent,
  SuspicionState,
} from './enums.js';
import { findNextEngineHealth, findNextRequestState, findNextSuspicion } from './tables.js';

test('no event changes the state of an ended request', () => {
  for (const event of Object.values(RequestEvent)) {
    assert.equal(findNextRequestState(RequestState.Ended, event), undefined);
  }
});

test('a leaving engine becomes healthy only by a return event', () => {
  for (const event of Object.values(EngineHealthEvent)) {
    const next = findNextEngineHealth(EngineHealth.Leaving, event);
    const expected = event === EngineHealthEvent.Return ? EngineHealth.Healthy : undefined;
    assert.equal(next, expected, event);
  }
});

test('a second crash quarantines a fingerprint, whether or not this dispatcher granted the retry', () => {
  const { Crash } = SuspicionEvent;
  assert.equal(findNextSuspicion(SuspicionState.Clear, Crash), SuspicionState.Suspect);
  assert.equal(findNextSuspicion(SuspicionState.Suspect, Crash), SuspicionState.Quarantined);
  assert.equal(findNextSuspicion(SuspicionState.Retrying, Crash), SuspicionState.Quarantined);
});
