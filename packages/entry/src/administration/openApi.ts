import { problemSchema, RESULT_ADVICE, ResultCode, HTTP_STATUS } from '@sardinegrade/common';
import { z } from 'zod';

import { ROUTES } from './routes/index.js';

import type { QueryParameter, Route } from './http/types.js';

type JsonObject = Readonly<Record<string, unknown>>;

const PLACEHOLDER = /\{(\w+)\}/g;

const COMMON_CODES = [
  ResultCode.MissingKey,
  ResultCode.InvalidKey,
  ResultCode.RoleMissing,
  ResultCode.InvalidField,
  ResultCode.Internal,
];

const toJsonSchema = (schema: z.ZodType): JsonObject => {
  const described = z.toJSONSchema(schema, { io: 'output' });
  return Object.fromEntries(Object.entries(described).filter(([name]) => name !== '$schema'));
};

const describeParameter =
  (location: 'query' | 'header') =>
  ({ name, description, schema }: QueryParameter): JsonObject => ({
    name,
    in: location,
    description,
    required: name === 'If-Match',
    schema,
  });

const describeParameters = (route: Route): readonly JsonObject[] => [
  ...[...route.path.matchAll(PLACEHOLDER)].map((match) => ({
    name: match[1],
    in: 'path',
    required: true,
    schema: { type: 'string' },
  })),
  ...(route.query ?? []).map(describeParameter('query')),
  ...(route.headers ?? []).map(describeParameter('header')),
];

const describeProblems = (route: Route): JsonObject => {
  const routeCodes = route.codes ?? [];
  const codes = route.role === undefined ? routeCodes : [...COMMON_CODES, ...routeCodes];
  const codesByStatus = new Map<number, ResultCode[]>();
  for (const code of codes) {
    const status = HTTP_STATUS[code];
    codesByStatus.set(status, [...(codesByStatus.get(status) ?? []), code]);
  }
  const content = {
    'application/problem+json': { schema: { $ref: '#/components/schemas/Problem' } },
  };
  return Object.fromEntries(
    [...codesByStatus].map(([status, sharedCodes]) => [
      String(status),
      {
        description: sharedCodes.map((code) => `${code}: ${RESULT_ADVICE[code].meaning}`).join(' '),
        content,
      },
    ]),
  );
};

const describeContent = (type: string, schema: z.ZodType | undefined): JsonObject => ({
  [type]: { schema: schema === undefined ? { type: 'string' } : toJsonSchema(schema) },
});

const describeBody = ({ bodyType, bodySchema }: Route): JsonObject => {
  if (bodyType === undefined) return {};
  return { requestBody: { required: true, content: describeContent(bodyType, bodySchema) } };
};

const describeRoute = (route: Route): JsonObject => ({
  summary: route.summary,
  ...(route.role === undefined ? { security: [] } : { 'x-role': route.role }),
  parameters: describeParameters(route),
  ...describeBody(route),
  responses: {
    '200': {
      description: 'Success.',
      content: describeContent(route.replyType ?? 'application/json', route.replySchema),
    },
    ...describeProblems(route),
  },
});

const describePaths = (): JsonObject => {
  const paths = new Map<string, Record<string, unknown>>();
  for (const route of ROUTES) {
    const methods = paths.get(route.path) ?? {};
    methods[route.method.toLowerCase()] = describeRoute(route);
    paths.set(route.path, methods);
  }
  return Object.fromEntries(paths);
};

/**
 * Builds the OpenAPI document of the administration API from its routes.
 *
 * @returns the OpenAPI document; docs/openapi.json has the same content
 */
export const buildOpenApi = (): JsonObject => ({
  openapi: '3.1.0',
  info: {
    title: 'sardinegrade administration API',
    version: '1',
    description:
      'Served on the administration port of each entry daemon. Each path names the role that the key needs.',
  },
  security: [{ bearer: [] }],
  paths: describePaths(),
  components: {
    securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } },
    schemas: { Problem: toJsonSchema(problemSchema) },
  },
});
