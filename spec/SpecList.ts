/** All specifications, with their bounds. */
import { makeConsensusSpec } from './SpecConsensus.js';
import { makeLeaseSpec } from './SpecLease.js';
import { makeMapChangeSpec } from './SpecMapChange.js';
import { makeMapSwitchSpec, MAP_SWITCH_SAFEGUARDS } from './SpecMapSwitch.js';
import { makeRolloutSpec } from './SpecRollout.js';
import { makeVotersSpec } from './SpecVoters.js';
import { VOTERS_SAFEGUARDS } from './SpecVotersState.js';
import type { Spec, SpecEvent } from './SpecTypes.js';

/** No process leaves in order, and a change of voters copies no entries. */
const NO_DEPARTURES = { departures: 0, copiesLog: false };

/** The specifications that `npm run check:model` explores. */
export const SPECS = [
  makeConsensusSpec(
    'election and commit',
    { terms: 2, log: 2, crashes: 1, candidates: 'abc', replace: false },
    ['sync the vote', 'sync before answering'],
  ),
  makeConsensusSpec(
    'commit after two lost terms',
    { terms: 4, log: 2, crashes: 0, candidates: 'ac', replace: false, start: 'after two terms' },
    ['commit only own term by count'],
  ),
  makeConsensusSpec(
    'replacement of a voter',
    { terms: 2, log: 1, crashes: 0, candidates: 'bd', replace: true, start: 'after one commit' },
    ['new identity after a lost disk', 'one voter at a time'],
  ),
  makeVotersSpec(
    {
      ...NO_DEPARTURES,
      hosts: 3,
      borne: 1,
      losses: 2,
      silences: 1,
      reports: false,
      inOrder: false,
    },
    [VOTERS_SAFEGUARDS.SILENCE_OUTLIVES_ELECTION, VOTERS_SAFEGUARDS.DROP_SILENT],
  ),
  makeVotersSpec(
    { ...NO_DEPARTURES, hosts: 5, borne: 2, losses: 4, silences: 0, reports: false, inOrder: true },
    [VOTERS_SAFEGUARDS.DROP_TWO_OF_ODD, VOTERS_SAFEGUARDS.KEEP_ENOUGH_VOTERS],
  ),
  makeVotersSpec(
    { ...NO_DEPARTURES, hosts: 5, borne: 2, losses: 2, silences: 1, reports: false, inOrder: true },
    [VOTERS_SAFEGUARDS.PROMOTE_FIRST],
  ),
  makeVotersSpec(
    { ...NO_DEPARTURES, hosts: 6, borne: 2, losses: 3, silences: 1, reports: false, inOrder: true },
    [],
  ),
  makeVotersSpec(
    { ...NO_DEPARTURES, hosts: 3, borne: 1, losses: 2, silences: 0, reports: true, inOrder: true },
    [VOTERS_SAFEGUARDS.ASK_REPLICAS],
  ),
  makeVotersSpec(
    { ...NO_DEPARTURES, hosts: 4, borne: 1, losses: 1, silences: 1, reports: true, inOrder: true },
    [VOTERS_SAFEGUARDS.HEED_CONTACT],
  ),
  makeVotersSpec(
    {
      hosts: 3,
      borne: 1,
      losses: 1,
      silences: 0,
      departures: 1,
      copiesLog: true,
      reports: false,
      inOrder: false,
    },
    [VOTERS_SAFEGUARDS.WAIT_FOR_REMOVAL],
  ),
  makeRolloutSpec({ changes: 3, restarts: 3, processes: 2 }),
  makeLeaseSpec({ grants: 3, restarts: 2 }),
  makeMapChangeSpec({ ranks: 3, proposals: [1, 0] }, [
    'commit only once all are armed',
    'an armed rank waits rather than guesses',
    'refuse old tokens',
    'learn from all ranks before acting',
  ]),
  makeMapChangeSpec({ ranks: 2, proposals: [2, 0] }, [
    'a new version for each attempt',
    'abort only the version named',
  ]),
  makeMapSwitchSpec({ ranks: 2, proposals: 2, lateOrders: 2, grants: 1, lastPass: 20 }, [
    MAP_SWITCH_SAFEGUARDS.SKIP_USED_PASSES,
  ]),
] as unknown as readonly Spec<unknown, SpecEvent>[];
