import assert from 'node:assert/strict';
import { test } from 'node:test';

import { z } from 'zod';

import { durationSchema } from './duration.js';
import { parseIniDocument } from './iniDocument.js';
import { validateIni } from './loadSettings.js';
import { SettingsError } from './SettingsError.js';

const SCHEMA = z.strictObject({
  peer: z.strictObject({ ping_interval: durationSchema, listen: z.string() }),
});

const validate = (text: string) => validateIni(parseIniDocument(text), SCHEMA, 'entry.ini');

test('a valid text is parsed to typed values', () => {
  const settings = validate('[peer]\nping_interval = 1.5s\nlisten = 127.0.0.1:0\n');
  assert.deepEqual({ ...settings.peer }, { ping_interval: 1500, listen: '127.0.0.1:0' });
});

test('error messages contain line, key and the accepted format', () => {
  const text = '; settings\n[peer]\nping_interval = 15\nlisten = a\ncolour = red\n';
  assert.throws(
    () => validate(text),
    (error: unknown) => {
      assert.ok(error instanceof SettingsError);
      assert.match(error.message, /entry\.ini:3: peer\.ping_interval: .*ms, s, m, h, d/);
      assert.match(error.message, /entry\.ini:5: peer\.colour: unknown key/);
      return true;
    },
  );
});
