/** Admission by urgency across entry processes: demand, the grants decided from it, and their use. */
export {
  decideGrants,
  limitGrants,
  startableRequests,
  type CustomerDemand,
  type GroupUsage,
} from './SlotGrants.js';
export {
  DEMAND_TTL_MS,
  recordDemands,
  sumDemands,
  type DemandSum,
  type GroupDemands,
} from './GroupDemands.js';
export { demandRows, recordArrival, type Arrival, type RequestClass } from './DemandReport.js';
export {
  applyGrants,
  grantedRate,
  grantedStarts,
  grantPhase,
  haveSameShares,
  isReportDue,
  NO_GRANTS,
  recordReport,
  replacementSlots,
  takeGrant,
  type GrantedSlots,
  type GrantPhase,
  type GroupGrants,
} from './GrantedSlots.js';
export { sortByUrgency } from './UrgencyOrder.js';
