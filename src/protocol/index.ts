/** Layer `protocol`: message types, validators and errors. It imports no other layer. */
export type {
  AnswerHead,
  DocumentDialect,
  ForwardHead,
  HttpDialect,
  AdvertisedLimit,
  RawHeaders,
  RequestHead,
} from './ProtocolDialect.js';
export { FindingsError, formatFinding, type Finding } from './ProtocolFindings.js';
export { MAX_JSON_VALUES, parseJson } from './ProtocolJson.js';
export {
  manifestSchema,
  type Customer,
  type Group,
  type Manifest,
  type Service,
} from './ProtocolManifest.js';
export { parseManifest, parseManifestQuickly } from './ProtocolManifestText.js';
export {
  CALLER_HEADERS,
  GATE_HEADERS,
  type AnswerFrame,
  type ConfigDelta,
  type ConfigEntries,
  type ControlAddress,
  type DataFrame,
  type DirectoryDelta,
  type EndFrame,
  type EndpointOffer,
  type HeadFrame,
  type HelloMessage,
  type HelloReply,
  type Json,
  type LeaseGrant,
  type LoadReport,
  type MemberRecord,
  type MemberStatus,
  type RevokeReply,
  type Role,
  type SubmitReply,
  type SubmitRequest,
} from './ProtocolMessages.js';
export {
  isGroupDemand,
  MAX_ROWS_PER_PRIORITY,
  type DemandRow,
  type GroupDemand,
} from './ProtocolDemand.js';
export type { LimitUpdate, LimitRecord } from './ProtocolLimits.js';
export type { QuarantineUpdate, SuspectKind, SuspectRecord } from './ProtocolQuarantine.js';
export {
  digestPromptPart,
  digestRequest,
  isSameRequest,
  type RequestIdentity,
} from './ProtocolRequestDigest.js';
export {
  ERROR_CODES,
  isErrorCode,
  RequestError,
  type ErrorBody,
  type ErrorCode,
  type Outcome,
} from './ProtocolRequestError.js';
export type {
  CallerLimits,
  CappedGrantRow,
  ColdBounds,
  ColdSpec,
  EngineCosts,
  EngineOrder,
  GrantRow,
  GroupLoad,
  GroupMap,
  KeyedCustomer,
  OrderResult,
  RankCounts,
  RankReport,
  Route,
  RouteKind,
  RoutePlan,
  RouteTarget,
  ServiceSpec,
  SlotGrants,
} from './ProtocolRoutes.js';
export {
  arrivalsAt,
  worstRetryWindow,
  type RetryAllowance,
  type RetryArrival,
  type RetryWindow,
} from './ProtocolRetries.js';
