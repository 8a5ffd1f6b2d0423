/** Generated members and manifests of any size for benches. */
import type { Manifest, MemberRecord, Role } from '../src/protocol/index.js';

/** Zones of a full-size deployment: 11 AZs in 3 regions. */
export const ZONES = Array.from({ length: 11 }, (_item, i) => ({
  name: `az-${i + 1}`,
  region: `region-${(i % 3) + 1}`,
}));

/** Number of models of a full-size deployment. */
const MODELS = 8;

/** Makes a member; endpoints are spread over zones and models. */
export function makeMember(role: Role, i: number, incarnation = 1): MemberRecord {
  const zone = ZONES[i % ZONES.length]?.name ?? '';
  return {
    id: `${role}-${i}`,
    role,
    zone,
    address: `10.${Math.floor(i / 65_536)}.${Math.floor(i / 256) % 256}.${i % 256}:8080`,
    incarnation: 1_790_000_000_000 + incarnation,
    version: 1,
    status: 'serving',
    ...(role === 'endpoint'
      ? {
          offer: { fleet: 'fleet', service: `model-${Math.floor(i / 11) % MODELS}`, slots: 32 },
        }
      : {}),
  };
}

/** Makes a manifest with a number of customers. */
export function makeManifest(customers: number, version: number): Manifest {
  return {
    fleet: 'fleet',
    version,
    availabilityZones: ZONES,
    models: Array.from({ length: MODELS }, (_item, i) => ({ name: `model-${i}` })),
    services: Array.from({ length: MODELS }, (_item, i) => ({
      name: `model-${i}`,
      kind: 'model' as const,
      model: `model-${i}`,
      repeatable: true,
      deadlineMs: 30_000,
      skewWeight: 0.5,
      groups: [],
    })),
    customers: Array.from({ length: customers }, (_item, i) => ({
      name: `customer-${i}`,
      share: 1 + (i % 5),
      // The version changes one customer's limit, so that each submission is a small change.
      maxInFlight: i === version % customers ? 64 + version : 64,
    })),
  };
}
