/** A rank report for tests: idle, with no map prepared or armed and no pass held. */
import type { RankReport } from '../../protocol/index.js';

export const IDLE_REPORT: RankReport = {
  group: 'g',
  epoch: 1,
  rank: 0,
  ranks: 3,
  open: true,
  step: 10,
  mapVersion: 0,
  prepared: null,
  armed: null,
  copying: false,
  heldStep: null,
  active: 0,
  queued: 0,
  pace: 1,
};
