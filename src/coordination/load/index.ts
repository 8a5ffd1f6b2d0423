/** Load of a group: what its coordinator knows and publishes, and the limit that is derived from it. */
export {
  describeLoad,
  gainLease,
  initLoadKnowledge,
  isGroupOpen,
  isLoadComplete,
  noteFirstSkew,
  noteReport,
  noteSkew,
  reformGroup,
  slowdownsOf,
  type LoadKnowledge,
} from './GroupLoadKnowledge.js';
export {
  DEFAULT_FIRST_SKEW,
  DISCOUNT_END_MS,
  DISCOUNT_START_MS,
  INITIAL_SLOT_LIMIT,
  stepSlotLimit,
  writersAt,
  type LimitParameters,
  type LoadVerdict,
  type SlotLimit,
  type SlotLimitStep,
} from './SlotLimit.js';
