import { ResultCode } from '../errors/index.js';

/** What a result code means, and what the caller or operator can do about it. */
export interface ResultAdvice {
  readonly meaning: string;
  readonly nextStep: string;
}

/** Explanation of each result code. A test keeps docs/RESULT-CODES.md identical to it. */
export const RESULT_ADVICE: Readonly<Record<ResultCode, ResultAdvice>> = {
  [ResultCode.MissingKey]: {
    meaning: 'The request carries no key.',
    nextStep:
      'Send the key as Authorization: Bearer KEY; on the command line, --key or SARDINEGRADE_KEY.',
  },
  [ResultCode.InvalidKey]: {
    meaning: 'The key names no workspace or administrator.',
    nextStep: 'Check the key. Its SHA-256 has to stand in the configuration or the settings.',
  },
  [ResultCode.UnknownModel]: {
    meaning: 'No service has the model that the request names.',
    nextStep: 'List the models with GET /v1/models, or add a service with this model.',
  },
  [ResultCode.UnknownService]: {
    meaning: 'No plain service has the name in the path.',
    nextStep: 'List the services with sardinegrade status.',
  },
  [ResultCode.MalformedBody]: {
    meaning: 'The body is not what the path takes, such as JSON that does not parse.',
    nextStep: 'Correct the body; the message names the fault.',
  },
  [ResultCode.InvalidField]: {
    meaning: 'A field of the body or query has a value that is not accepted.',
    nextStep: 'Correct the field that the message names.',
  },
  [ResultCode.BodyTooLarge]: {
    meaning: 'The body exceeds the limit.',
    nextStep: 'Send less, or raise callers.body_limit in the settings.',
  },
  [ResultCode.MethodNotAllowed]: {
    meaning: 'The path does not take this method.',
    nextStep: 'Use a method that the Allow header lists.',
  },
  [ResultCode.MissingIdempotencyKey]: {
    meaning: 'A call that may not be repeated came without Idempotency-Key.',
    nextStep: 'Send a key that is unique per order, and the same key with each resend of it.',
  },
  [ResultCode.UnknownClass]: {
    meaning: 'The service has no class of the name in sardinegrade-class.',
    nextStep: 'Name a class of the service, or leave the header out for its default class.',
  },
  [ResultCode.ClassNotAllowed]: {
    meaning: 'The workspace may not use the class.',
    nextStep: 'Use another class, or add the workspace to the class in the configuration.',
  },
  [ResultCode.UnknownPath]: {
    meaning: 'Nothing stands at this path.',
    nextStep: 'Look the path up in docs/API.md.',
  },
  [ResultCode.InvalidHeader]: {
    meaning: 'A header is missing or has a value that is not accepted.',
    nextStep: 'Correct the header that the message names.',
  },
  [ResultCode.Overloaded]: {
    meaning: 'Demand exceeds capacity and the class is the first to give way.',
    nextStep: 'Ask again after Retry-After. Operators: sardinegrade status shows the queues.',
  },
  [ResultCode.QueueFull]: {
    meaning: 'As many requests wait in the class as its queue_limit allows.',
    nextStep: 'Ask again after Retry-After. Operators: add upstreams or raise queue_limit.',
  },
  [ResultCode.NoUpstream]: {
    meaning: 'No upstream of the pool can take the request.',
    nextStep: 'Ask again after Retry-After. Operators: sardinegrade upstreams shows their health.',
  },
  [ResultCode.DependencyDown]: {
    meaning: 'A service that this one depends on cannot serve.',
    nextStep: 'Operators: sardinegrade status shows which dependency is down.',
  },
  [ResultCode.Quarantined]: {
    meaning: 'The same request brought down upstreams before and is not run again for a while.',
    nextStep: 'Change the request. Operators: sardinegrade explain shows which upstreams it ended.',
  },
  [ResultCode.ShuttingDown]: {
    meaning: 'The VM is shutting down and takes no new work.',
    nextStep: 'Ask again; the balancer picks another VM.',
  },
  [ResultCode.DeadlineBeforeStart]: {
    meaning: 'The deadline passed before the request was run.',
    nextStep: 'Ask again later. Operators: compare queue wait and deadline of the class.',
  },
  [ResultCode.RetryBudgetSpent]: {
    meaning: 'The request failed before it ran and the service has no retries left for now.',
    nextStep: 'Ask again after Retry-After. Operators: look for failing upstreams.',
  },
  [ResultCode.PlatformUnavailable]: {
    meaning: 'The platform is down or refuses calls, and the request needs it.',
    nextStep: 'Ask again after Retry-After. Operators: docs/operations/platform-outage.md.',
  },
  [ResultCode.NotReady]: {
    meaning: 'The VM has no configuration yet.',
    nextStep:
      'Ask another VM, or wait until this one has found it. A new fleet: sardinegrade apply FILE.',
  },
  [ResultCode.WriteBudgetSpent]: {
    meaning: 'The VM has used its part of the writes that the platform takes.',
    nextStep: 'Ask again after Retry-After.',
  },
  [ResultCode.UpstreamFailed]: {
    meaning: 'The upstream failed while it ran the request, and it could not be resumed.',
    nextStep: 'Ask again where the call may be repeated. Operators: sardinegrade explain.',
  },
  [ResultCode.UpstreamTimeout]: {
    meaning: 'The upstream made no progress within the deadline.',
    nextStep: 'Ask again where the call may be repeated. Operators: sardinegrade upstreams.',
  },
  [ResultCode.AnswerCut]: {
    meaning: 'The answer ended before it was whole.',
    nextStep: 'Discard what came and ask again.',
  },
  [ResultCode.Preempted]: {
    meaning: 'The request was stopped for one of a higher tier and could not be resumed in time.',
    nextStep: 'Ask again after Retry-After.',
  },
  [ResultCode.CallerGone]: {
    meaning: 'The caller closed the connection before its answer was whole.',
    nextStep: 'Nothing; the upstream was told to stop.',
  },
  [ResultCode.SuspectFailed]: {
    meaning: 'The upstream died while it ran this request, and so did the one that retried it.',
    nextStep: 'Change the request; resends are refused for a while.',
  },
  [ResultCode.OrderInProgress]: {
    meaning: 'An order with this key is being carried out.',
    nextStep: 'Ask again with the same key after Retry-After.',
  },
  [ResultCode.OrderUnknown]: {
    meaning: 'It is not known whether the order was carried out; it is not run again.',
    nextStep: 'Operators: find out at the service, then sardinegrade orders settle.',
  },
  [ResultCode.OrderBodyMismatch]: {
    meaning: 'The key was used for another request before.',
    nextStep: 'Use a new key for a new order, or resend exactly the first request.',
  },
  [ResultCode.OrderExpired]: {
    meaning: 'The order was carried out, and its answer is past its retention.',
    nextStep: 'Look the order up at the service itself.',
  },
  [ResultCode.AnswerNotKept]: {
    meaning: 'The order was carried out, and its answer was too large to keep or was never seen.',
    nextStep: 'Look the order up at the service itself.',
  },
  [ResultCode.OrderNotFound]: {
    meaning: 'No order with this workspace, service and key is on record.',
    nextStep: 'Check the three names with sardinegrade orders list.',
  },
  [ResultCode.OrderNotSettleable]: {
    meaning: 'The order is settled already, or its daemon may still be at work on it.',
    nextStep:
      'Look at it with sardinegrade orders show, and settle it later if it is still unknown.',
  },
  [ResultCode.GenerationConflict]: {
    meaning: 'Another change came first; yours had no effect.',
    nextStep:
      'See what changed with sardinegrade diff, then apply with --expect the new generation.',
  },
  [ResultCode.ConfigurationInvalid]: {
    meaning: 'The configuration text has faults; nothing was changed.',
    nextStep:
      'Correct the lines that the message names; sardinegrade check tests the text offline.',
  },
  [ResultCode.RoleMissing]: {
    meaning: "The administrator's key lacks the role that this needs.",
    nextStep: 'Use a key with the role, or add it in the settings under [administrator.NAME].',
  },
  [ResultCode.UnknownTarget]: {
    meaning: 'Nothing has the name that was given.',
    nextStep: 'List the names with sardinegrade status or sardinegrade upstreams.',
  },
  [ResultCode.PeerUnreachable]: {
    meaning: 'Another daemon could not be reached.',
    nextStep: 'Ask again. Operators: sardinegrade status shows the VMs and their states.',
  },
  [ResultCode.StaleFencing]: {
    meaning: 'An engine refused an order because a newer controller has given orders.',
    nextStep: 'Nothing; the newer controller is in charge.',
  },
  [ResultCode.LeaseLost]: {
    meaning: 'The controller lost its lease and gives no more orders.',
    nextStep: 'Nothing; another controller takes over.',
  },
  [ResultCode.SettingInvalid]: {
    meaning: 'The settings file of a process has faults.',
    nextStep: 'Correct the lines that the message names and start the process again.',
  },
  [ResultCode.Internal]: {
    meaning: 'Something failed that should not have.',
    nextStep: 'Look up the request id in the logs and report the fault.',
  },
};
