import { formatDuration, formatTime } from './format.js';
import { renderTable } from './renderTable.js';

import type { ExplanationView } from '@sardinegrade/common';

const renderHead = (view: ExplanationView): string =>
  [
    `Request ${view.request_id} at ${view.vm}, ${formatTime(view.arrived_at_ms)}`,
    `Service ${view.service}, class ${view.class}${view.tier === undefined ? '' : ` (${view.tier})`}, workspace ${view.workspace}`,
    ...(view.trace_id === undefined ? [] : [`Trace ${view.trace_id}`]),
    view.summary,
  ].join('\n');

/**
 * Renders the account of one request at one VM.
 *
 * @param view - the account
 * @returns who asked for what, how it ended, and the decisions in order
 */
export const renderExplanation = (view: ExplanationView): string => {
  const rows = view.decisions.map((decision) => [
    `+${formatDuration(decision.after_ms)}`,
    decision.kind,
    decision.upstream ?? '',
    decision.code === undefined ? '' : String(decision.code),
    decision.detail,
  ]);
  const table = renderTable(['AFTER', 'DECISION', 'UPSTREAM', 'CODE', 'DETAIL'], rows);
  const omitted = view.omitted === 0 ? [] : [`${view.omitted} decisions in between are not kept.`];
  return [renderHead(view), '', table, ...omitted].join('\n');
};
