import { LIST_LIMIT } from '../constants.js';

import type { QueryParameter } from '../http/types.js';

export const LIMIT_PARAMETER: QueryParameter = {
  name: 'limit',
  description: 'Most entries wanted.',
  schema: { type: 'integer', minimum: 1, maximum: LIST_LIMIT },
};

export const IF_MATCH_HEADER: QueryParameter = {
  name: 'If-Match',
  description: 'The generation that the change starts from, quoted.',
  schema: { type: 'string' },
};

export const CHANGE_ID_HEADER: QueryParameter = {
  name: 'Idempotency-Key',
  description: 'Unique per intended change, so that a resend has no second effect.',
  schema: { type: 'string', maxLength: 200 },
};
