import { writeFileSync } from 'node:fs';

import { format, resolveConfig } from 'prettier';

import { buildOpenApi } from '../packages/entry/dist/administration/openApi.js';

/** Writes docs/openapi.json from the routes of the administration API. Build first. */

const PAGE = new URL('../docs/openapi.json', import.meta.url);

const style = await resolveConfig(PAGE);

writeFileSync(PAGE, await format(JSON.stringify(buildOpenApi()), { ...style, parser: 'json' }));
