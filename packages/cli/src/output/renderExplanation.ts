import { formatDuration, formatTime } from './format.js';
import { renderTable } from './renderTable.js';

import type { ExplanationView } from '@sardinegrade/common';

const renderTarget = ({ service, class: className, tier }: ExplanationView): string =>
  service === undefined
    ? 'Refused before its service and class were known'
    : `Service ${service}, class ${className ?? ''} (${tier ?? ''})`;

const renderHead = (view: ExplanationView): string =>
  [
    `Request ${view.request_id} at ${view.vm}, ${formatTime(view.arrived_at_ms)}`,
    `${renderTarget(view)}, workspace ${view.workspace}`,
    ...(view.trace_id === undefined ? [] : [`Trace ${view.trace_id}`]),
    view.summary,
  ].join('\n');

/**
 * Renders the explanation of one request by one VM.
 *
 * @param view - explanation of the request
 * @returns target, workspace and summary of the request, and a table of its decisions
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
