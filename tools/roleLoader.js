import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

// Copied to target/ by bundleRole.js, beside the bundle and V8's cache of its compiled code. V8 ignores a cache of another
// version or processor.
const file = fileURLToPath(new URL('role.cjs', import.meta.url));
const cachedData = readFileSync(new URL('role.cache', import.meta.url));
const script = new Script(readFileSync(file, 'utf8'), { filename: file, cachedData });
const role = { exports: {} };
script.runInThisContext()(role.exports, createRequire(import.meta.url), role);
await role.exports.runRole();
