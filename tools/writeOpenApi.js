import { writeFileSync } from 'node:fs';

import { format, resolveConfig } from 'prettier';

import { buildOpenApi } from '../packages/entry/dist/administration/openApi.js';

/** Generates docs/openapi.json from the routes of the administration API. Requires a build. */

const OPENAPI_URL = new URL('../docs/openapi.json', import.meta.url);

const style = await resolveConfig(OPENAPI_URL);

writeFileSync(
  OPENAPI_URL,
  await format(JSON.stringify(buildOpenApi()), { ...style, parser: 'json' }),
);
