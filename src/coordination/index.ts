/** Layer `coordination`: the decisions, as pure state machines. */
export {
  admit,
  EMPTY_ADMISSION,
  localLimit,
  release,
  takeRetry,
  type AdmissionState,
} from './Admission.js';
export {
  MIN_ATTEMPT_TIME_MS,
  MAX_ATTEMPTS,
  startAttempts,
  stepAttempts,
  type AttemptContext,
  type AttemptInput,
  type AttemptOutput,
  type AttemptState,
  type AttemptStep,
} from './Attempts.js';
export { initConsensus, stepConsensus, type ConsensusRecovery } from './Consensus.js';
export { ELECTION_TIMEOUT_MS, HEARTBEAT_MS } from './ConsensusConstants.js';
export { silenceByVoter } from './ConsensusContacts.js';
export { hasLostQuorum } from './ConsensusElection.js';
export { lastIndex, membersOf } from './ConsensusLog.js';
export { votersWithEntry } from './ConsensusReplication.js';
export type {
  ConsensusContext,
  ConsensusEntry,
  ConsensusInput,
  ConsensusMembers,
  ConsensusMessage,
  ConsensusOutput,
  ConsensusProgress,
  ConsensusSnapshot,
  ConsensusState,
  ConsensusStep,
  ReplicaContact,
  ReportedContact,
} from './ConsensusTypes.js';
export {
  leaveOutcome,
  nextVoterChange,
  replicaName,
  type VoterChange,
  type LeaveOutcome,
  type VoterView,
} from './ConsensusVoters.js';
export {
  clearSuspects,
  EMPTY_QUARANTINE,
  crashCount,
  dropExpiredSuspects,
  hashQuarantine,
  recordSuspects,
  mergeSuspectRecords,
  QUARANTINE_CRASHES,
  SUSPECT_LIMITS,
  SUSPECT_RETENTION_MS,
  toQuarantineUpdates,
  toSuspectRecords,
  type QuarantineState,
  type QuarantineStep,
  type Suspect,
} from './Quarantine.js';
export {
  findCombination,
  quarantinedCombinations,
  type PartCombination,
} from './QuarantineParts.js';
export { decideTrial, type TrialTimes } from './QuarantineTrials.js';
export { SoundParts } from './SoundParts.js';
export { rememberAnswer, wasRecentlyAnswered, type RecentAnswers } from './RecentAnswers.js';
export {
  endpointIdOf,
  incarnationKeyOf,
  NO_ENDPOINT_CRASHES,
  provesCrash,
  stepEndpointCrashes,
  type CrashEvidence,
  type EndpointCrashesInput,
  type EndpointCrashesOutput,
  type EndpointCrashesState,
  type EndpointCrashesStep,
  type IncarnationKey,
  type LostRequest,
} from './EndpointCrashes.js';
export {
  engineAnswered,
  engineCrashed,
  FIRST_INCARNATION,
  type EngineIncarnation,
} from './EngineIncarnations.js';
export {
  initGate,
  CLOSED_ATTEMPT_TTL_MS,
  stepGate,
  type GateInput,
  type GateOutput,
  type GateState,
} from './Gate.js';
export {
  initLease,
  LEASE_CLOCK_MARGIN_MS,
  LEASE_MS,
  mayCoordinate,
  RENEW_INTERVAL_MS,
  stepLease,
  type LeaseInput,
  type LeaseOutput,
  type LeaseView,
} from './Lease.js';
export {
  countRenewals,
  initLeaseRenewals,
  mayGrant,
  recordRenewal,
  type LeaseRenewalsState,
} from './LeaseRenewals.js';
export {
  ARM_AHEAD_STEPS,
  CHANGE_TIMEOUT_MS,
  initMapCommit,
  ORDER_RETRY_MS,
  stepMapCommit,
  type MapCommitInput,
  type MapCommitOutput,
  type MapCommitState,
  type RankOrder,
  type RankStatus,
} from './MapCommit.js';
export {
  attachedRecords,
  departingIncarnation,
  LATE_DEPARTURE_MS,
  EMPTY_MEMBERSHIP,
  MEMBER_LEASE_MS,
  stepMembership,
  TOMBSTONE_MS,
  type MembershipInput,
  type MembershipOutput,
  type MembershipState,
} from './MembershipHub.js';
export { updateDepartureAges, expiredDepartures, type DepartureAges } from './DepartureAges.js';
export {
  mergeDelta,
  pruneView,
  servingMembers,
  MISSING_GRACE_MS,
  type MembershipView,
} from './MembershipView.js';
export {
  INITIAL_ORDER_GATE,
  checkOrder,
  raiseHighestToken,
  completeOrder,
  type OrderGateState,
  type OrderVerdict,
} from './OrderGate.js';
export {
  BODY_CHUNKS,
  initChunkAllowance,
  REQUEST_BODY_CHUNKS,
  SHARED_CHUNKS,
  takeChunks,
  type ChunkAllowance,
  type ChunkRate,
} from './ChunkAllowance.js';
export { BodyBudget } from './BodyBudget.js';
export { HeldBytes } from './HeldBytes.js';
export {
  BUCKET_BYTES,
  BYTES_PER_SECOND,
  initTokenBucket,
  takeBytes,
  type TokenBucket,
} from './TokenBucket.js';
export {
  decidePlacement,
  rankLoads,
  skewOf,
  type PlacementDecision,
  type PlacementMap,
  type PlacementMove,
  type PlacementPolicy,
} from './Placement.js';
export { initEstimate, updateEstimate, type PlacementEstimate } from './PlacementEstimate.js';
export {
  CONFIRM_TIMEOUT_MS,
  isRelevantTo,
  initRollout,
  stepRollout,
  type RolloutInput,
  type RolloutOutput,
  type RolloutPhase,
  type RolloutState,
} from './Rollout.js';
export { estimateWork, initRouting, routeRequest, serviceKey, updateRouting } from './Routing.js';
export { hashText, rendezvousOrder } from './RoutingHash.js';
export type {
  RoutingDecision,
  RoutingEndpoint,
  RoutingInput,
  RoutingRequest,
  RoutingState,
} from './RoutingTypes.js';
export {
  deterministicSubset,
  filterToSubsets,
  selectSubset,
  OWN_ZONE_SUBSET_SIZE,
  REMOTE_ZONE_SUBSET_SIZE,
  type SubsetSelf,
} from './Subset.js';
export {
  clockOf,
  dropExpiredLimits,
  hashLimits,
  LIMIT_TTL_MS,
  mergeLimits,
  NO_LIMITS,
  applyAdvertisedLimit,
  toLimitUpdates,
  type EndpointLimit,
  type LimitTimestamp,
  type LimitsState,
  type LimitsStep,
} from './EndpointLimits.js';
export {
  dropExpiredRefusals,
  clearRefusals,
  refusingEndpoints,
  recordRefusal,
  type EndpointRefusal,
  type EndpointRefusals,
} from './EndpointRefusals.js';
export {
  dropExpiredBackoffs,
  recordBackoff,
  type EndpointBackoff,
  type EndpointBackoffs,
} from './EndpointBackoffs.js';
export {
  coldPartOf,
  coldPlaceOf,
  coldSendFrom,
  coldWaitMs,
  initColdHosts,
  initColdRate,
  isForgottenSender,
  mayStartCold,
  planColdSenders,
  reserveColdSlot,
  startCold,
  updateColdRate,
  type ColdPart,
  type ColdRate,
  type ColdTolerance,
} from './ColdShare.js';
export {
  applyColdRecord,
  coldTimeOf,
  doubtWarmth,
  stepColdStatement,
  type ColdKnowledge,
  type ColdStatement,
  type ColdTime,
} from './ColdEndpoints.js';
export {
  updateInterval,
  sendIntervalOf,
  sendWaitMs,
  sendersTo,
  reserveSendSlot,
  updateHosts,
  type RecentHosts,
  type SendRate,
} from './LimitShare.js';
export {
  isUnsent,
  judgeFailure,
  judgeWithoutRetry,
  MIN_RETRY_TIME_MS,
  isNotRunStatus,
  type DirectFailure,
  type DirectProgress,
  type DirectVerdict,
} from './DirectAttempts.js';
export {
  FRESHNESS_LEASE_FRACTION,
  receiveConfig,
  isFresh,
  isOutdated,
  isProven,
  receiveNewestIndex,
  UNPROVEN,
  type ClockReading,
  type FreshnessState,
} from './ConfigFreshness.js';
export {
  countRequest,
  earnedRetries,
  ARRIVAL_MS,
  EMPTY_RETRY_BUDGET,
  EXTEND_AFTER_MS,
  mayStillSend,
  moveEarnedRetry,
  spendEarnedRetry,
  type RetryBudgetState,
  type RetryPermit,
} from './RetryBudget.js';
export {
  grantRetries,
  mayGrantRetries,
  NO_RETRY_GRANTS,
  onFounded,
  onHostsProven,
  retryShareOf,
  type RetryGrantsState,
} from './RetryGrants.js';
export {
  adoptDemand,
  expectedLoad,
  initDemand,
  packDemand,
  recordCounts,
  type DemandState,
  type ExpertCounts,
  type PackedDemand,
} from './DemandEstimate.js';
export {
  requiredGain,
  isPlanDue,
  type PlanConditions,
  type PlanHistory,
} from './MapPlanTrigger.js';
export { slowRanks } from './RankSlowdown.js';
export { planMap, type PlannedMap, type MapPolicy, type MapShape } from './MapPlan.js';
export {
  FIRST_MAP_VERSION,
  initMapSwitch,
  LOSSY_LEAD_PASSES,
  PREPARE_TIMEOUT_MS,
  stepMapSwitch,
} from './MapSwitch.js';
export {
  isStalled,
  INITIAL_PASS_MONITOR,
  resetMeasurement,
  observeReport,
  type PassMonitor,
} from './PassMonitor.js';
export type {
  MapSwitchInput,
  MapSwitchOutput,
  MapSwitchPhase,
  MapSwitchState,
} from './MapSwitchTypes.js';
export {
  passCorrection,
  passTime,
  skewCorrection,
  DEFAULT_PASS_CORRECTION,
  maxWritersFor,
  generationTime,
} from './EngineModel.js';
export {
  markGroupBroken,
  freeSlotsAt,
  initGroupSlots,
  isOpenGroup,
  markGroupRecovered,
  LOAD_TTL_MS,
  ownRequestsAt,
  refreshGroupSlots,
  runningAtUsable,
  applyGroupLoad,
  type GroupSlots,
  type GroupRank,
  type SlotParameters,
} from './GroupSlots.js';
export {
  DEFAULT_FIRST_SKEW,
  describeLoad,
  gainLease,
  INITIAL_SLOT_LIMIT,
  initLoadKnowledge,
  isGroupOpen,
  isLoadComplete,
  noteFirstSkew,
  noteReport,
  noteSkew,
  reformGroup,
  slowdownsOf,
  stepSlotLimit,
  type LimitParameters,
  type LoadKnowledge,
  type LoadVerdict,
  type SlotLimit,
  type SlotLimitStep,
} from './load/index.js';
export { isGroupStalled, type OwnStreams } from './GroupStall.js';
export { chooseRank, workAt } from './RankChoice.js';
export {
  enqueue,
  admitWaiting,
  retryDelayMs,
  type QueueForecast,
  type QueueRefusal,
  type QueueStep,
  type StreamQueue,
  type WaitingRequest,
} from './StreamQueue.js';
export { addIncrements, sampledRanks, packIncrements, type PackedCounts } from './DemandCounts.js';
export { MapStages, type MapStageTimes } from './MapStages.js';
export { applyMapDiff, diffMap, type MapRow } from './MapDiff.js';
export { awaitsReport } from './MapSwitchOrders.js';
export { hasHolderTerminated, holderName, type LeaseHolder } from './LeaseHolder.js';
export { STARTUP_WINDOW_MS, startupWaitMs } from './StartupWait.js';
export {
  finishUpdate,
  isUpdateDue,
  requestUpdate,
  IDLE_THROTTLE,
  type UpdateThrottle,
} from './UpdateThrottle.js';
export {
  applyGrants,
  decideGrants,
  limitGrants,
  demandRows,
  grantPhase,
  isReportDue,
  NO_GRANTS,
  recordArrival,
  recordDemands,
  recordReport,
  replacementSlots,
  startableRequests,
  sumDemands,
  type Arrival,
  type CustomerDemand,
  type DemandSum,
  type GrantedSlots,
  type GrantPhase,
  type GroupDemands,
  type GroupGrants,
  type GroupUsage,
  type RequestClass,
} from './urgency/index.js';
