/** Tables of any size for benches: members, manifests and engines that aren't there. */
import type { Manifest, MemberRecord, Role } from '../src/protocol/index.js';

/** Zones of the full size: 3 regions with 11 AZs. */
export const ZONES = Array.from({ length: 11 }, (_item, i) => ({
  name: `az-${i + 1}`,
  region: `region-${(i % 3) + 1}`,
}));

/** Models of the full size. */
const MODELS = 8;

/** A member; endpoints are spread over zones and models. */
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

/** A manifest with so many customers. */
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
      // The version shows in one customer, so that each submission is a small change.
      maxInFlight: i === version % customers ? 64 + version : 64,
    })),
  };
}
