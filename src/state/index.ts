/** Layer `state`: immutable values, each replaced by one function only, and the data folder of a control process. */
export {
  applyConfigDelta,
  canonicalJson,
  diffEntries,
  digestManifest,
  EMPTY_CONFIG,
  entriesOfFleet,
  flattenManifest,
  patchEntries,
  regionsOf,
  viewConfig,
  type ConfigState,
  type ConfigView,
  type DeltaResult,
  type FleetService,
} from './StateConfig.js';
export {
  applyCommand,
  DELTA_HISTORY,
  deltasSince,
  mergeDeltas,
  EMPTY_CONTROL,
  restoreControl,
  checkSubmission,
  type CommandResult,
  type ControlCommand,
  type ControlState,
  type EvacuateCommand,
  type FleetState,
  type LeaseCommand,
  type LeaseState,
  type ReplaceCommand,
  type SubmitCommand,
} from './StateControl.js';
export {
  departureKey,
  findDeparture,
  MAX_DEPARTURES,
  type DepartureKey,
  type Departures,
} from './StateDepartures.js';
export {
  evacuationsOf,
  finishedEvacuations,
  isEvacuated,
  mayHaveChangedSince,
  type Evacuation,
} from './StateEvacuation.js';
export { findRoute, pickTarget, viewRoutes, type RouteView } from './StateRoutes.js';
export { StateCorruptError } from './StateCorruptError.js';
export { StateDataFolder, type Identity } from './StateDataFolder.js';
export { readIfExists, writeSynced } from './StateFiles.js';
export { isNewerRecord, mergeRecords, type Directory } from './StateDirectory.js';
