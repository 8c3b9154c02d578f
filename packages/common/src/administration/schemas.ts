import * as z from 'zod';

import { RunState } from '../errors/index.js';
import { ChangeKind, ServiceState } from './enums.js';

/**
 * Schemas of the JSON bodies of the administration API. Fields are in snake case; times are in
 * milliseconds since the epoch.
 */

const countSchema = z.number().int().nonnegative();
const shareSchema = z.number().min(0).max(1);

export const faultSchema = z.object({
  line: countSchema,
  key: z.string(),
  message: z.string(),
});

/** An error, as `application/problem+json`. */
export const problemSchema = z.object({
  type: z.string(),
  title: z.string(),
  status: countSchema,
  detail: z.string(),
  code: countSchema,
  run: z.enum(RunState),
  /** What the operator can do about it. */
  next_step: z.string(),
  retry_after_ms: z.number().optional(),
  faults: z.array(faultSchema).optional(),
  /** The active generation; present if it differs from the one that the request expected. */
  current_generation: countSchema.optional(),
});

export const configurationSchema = z.object({ generation: countSchema, text: z.string() });

export const checkSchema = z.object({
  valid: z.boolean(),
  faults: z.array(faultSchema),
});

export const changeSchema = z.object({
  kind: z.enum(ChangeKind),
  /** Section and key, joined by dots. API keys of workspaces appear as hashes only. */
  key: z.string(),
  before: z.string().optional(),
  after: z.string().optional(),
});

export const diffSchema = z.object({
  /** The generation that the submitted text was compared with. */
  generation: countSchema,
  changes: z.array(changeSchema),
});

export const drainScopeSchema = z.enum(['vm', 'upstream', 'data_centre']);

export const drainSchema = z.object({
  scope: drainScopeSchema,
  name: z.string(),
  author: z.string(),
  since_ms: z.number(),
});

export const generationSchema = z.object({
  generation: countSchema,
  /**
   * The generation that introduced the current text; starting or ending a drain raises the
   * generation but keeps the text.
   */
  text_generation: countSchema,
  author: z.string(),
  at_ms: z.number(),
});

export const historySchema = z.object({ entries: z.array(generationSchema) });

export const historyEntrySchema = generationSchema.extend({ text: z.string() });

export const drainsSchema = z.object({ drains: z.array(drainSchema) });

export const attainmentSchema = z.object({
  /** Requests that ended on this VM within the last one to two minutes. */
  requests: countSchema,
  attained: countSchema,
  share: shareSchema.optional(),
});

export const latencySchema = z.object({
  count: countSchema,
  p50_ms: z.number(),
  p95_ms: z.number(),
  p99_ms: z.number(),
});

export const classSchema = z.object({
  name: z.string(),
  tier: z.string(),
  priority: z.number(),
  first_token_target_ms: z.number(),
  token_interval_target_ms: z.number(),
  deadline_ms: z.number(),
  minimum_share: shareSchema,
  queued: countSchema,
  queue_limit: countSchema,
  attainment: attainmentSchema,
  first_token: latencySchema.optional(),
  token_interval: latencySchema.optional(),
  queue_wait: latencySchema.optional(),
});

export const serviceSchema = z.object({
  name: z.string(),
  kind: z.string(),
  model: z.string().optional(),
  pool: z.string(),
  depends_on: z.array(z.string()),
  state: z.enum(ServiceState),
  /** Why the service is degraded or down; empty if it is serving. */
  reasons: z.array(z.string()),
  upstreams_in_use: countSchema,
  upstreams: countSchema,
  classes: z.array(classSchema),
});

export const workspaceSchema = z.object({
  name: z.string(),
  weight: z.number(),
  keys: countSchema,
  attainment: attainmentSchema,
});

export const vmSchema = z.object({
  vm: z.string(),
  data_centre: z.string(),
  address: z.string(),
  state: z.string(),
  /** The generation that the VM last reported as active. */
  generation: countSchema.optional(),
  draining: z.boolean(),
});

export const upstreamSchema = z.object({
  id: z.string(),
  pool: z.string(),
  data_centre: z.string(),
  address: z.string(),
  slots: countSchema,
  fencing: z.string(),
  draining: z.boolean(),
  /**
   * `health`, `granted` and `limit` describe the state at this VM; absent if it does not dispatch
   * to the upstream.
   */
  health: z.string().optional(),
  granted: countSchema.optional(),
  limit: countSchema.optional(),
});

export const statusSchema = z.object({
  vm: z.string(),
  data_centre: z.string(),
  ready: z.boolean(),
  /** The active generation of this VM; 0 if it has no configuration. */
  generation: countSchema,
  /** The highest generation that this VM knows of. */
  highest_generation: countSchema,
  drains: z.array(drainSchema),
  /** In topological order: each service comes after those that it depends on. */
  services: z.array(serviceSchema),
  vms: z.array(vmSchema),
});

export const servicesSchema = z.object({ services: z.array(serviceSchema) });
export const workspacesSchema = z.object({ workspaces: z.array(workspaceSchema) });
export const vmsSchema = z.object({ vms: z.array(vmSchema) });
export const upstreamsSchema = z.object({ upstreams: z.array(upstreamSchema) });

export const auditSchema = z.object({
  at_ms: z.number(),
  by: z.string(),
  event: z.string(),
  to: z.string(),
  reason: z.string(),
});

export const orderSchema = z.object({
  workspace: z.string(),
  service: z.string(),
  key: z.string(),
  state: z.string(),
  request_id: z.string(),
  /** The VM that last processed the order. */
  owner: z.string(),
  accepted_at_ms: z.number(),
  dispatched_at_ms: z.number().optional(),
  settled_at_ms: z.number().optional(),
  answer_status: z.number().optional(),
  answer_bytes: z.number().optional(),
  /** Time until the order may be settled as not run; absent if the order is not open. */
  not_run_wait_ms: z.number().optional(),
  /** Required to settle the order as not run; present once no call for it can still be in flight. */
  settlement_token: z.string().optional(),
  audit: z.array(auditSchema),
});

export const ordersSchema = z.object({
  orders: z.array(orderSchema),
  /** Pass as `after` for the next page; absent on the last. */
  next: z.string().optional(),
});

export const settlementSchema = z.strictObject({
  /** Whether the service executed the order. */
  verdict: z.enum(['run', 'not_run']),
  /** Evidence for the verdict; stored in the order's audit trail. */
  reason: z.string().trim().min(3).max(500),
  /** The token from the latest view of the order; required to settle it as not run. */
  settlement_token: z.string().max(200).optional(),
});

export const decisionSchema = z.object({
  at_ms: z.number(),
  /** Time since the request arrived at this VM, in milliseconds. */
  after_ms: z.number(),
  kind: z.string(),
  detail: z.string(),
  upstream: z.string().optional(),
  code: z.number().optional(),
});

export const explanationSchema = z.object({
  request_id: z.string(),
  vm: z.string(),
  trace_id: z.string().optional(),
  /** Absent if the request was refused before its service and class were determined. */
  service: z.string().optional(),
  class: z.string().optional(),
  tier: z.string().optional(),
  workspace: z.string(),
  arrived_at_ms: z.number(),
  /** Absent while the request is in progress. */
  ended_at_ms: z.number().optional(),
  /** Result code; present if the request ended without a complete answer. */
  code: z.number().optional(),
  /** One sentence that describes how the request ended. */
  summary: z.string(),
  decisions: z.array(decisionSchema),
  /** Number of decisions left out between the first and the last ones listed. */
  omitted: countSchema,
});

export const explanationsSchema = z.object({ requests: z.array(explanationSchema) });

export const spanSchema = z.object({
  span_id: z.string(),
  parent_span_id: z.string().optional(),
  name: z.string(),
  vm: z.string(),
  request_id: z.string().optional(),
  started_at_ms: z.number(),
  duration_ms: z.number(),
  code: z.number().optional(),
  attributes: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  events: z.array(z.object({ name: z.string(), at_ms: z.number() })),
});

export const traceSchema = z.object({ trace_id: z.string(), spans: z.array(spanSchema) });

export const tracesSchema = z.object({ traces: z.array(traceSchema) });
