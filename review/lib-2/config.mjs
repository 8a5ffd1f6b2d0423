/** Configurations like those that the pages show. */
import { HOST } from './client.mjs';

/** One route; `extra` overrides its fields. */
export function route(name, type, service, extra = {}) {
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    type,
    timeoutMs: 4_000,
    sloMs: 400,
    priority: 1,
    service,
    maxAttempts: 2,
    anonymous: false,
    ...extra,
  };
}

/** A whole configuration. */
export function configOf(version, routes, services, extra = {}) {
  return {
    version,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'kano', apiKeys: ['key-1'], priority: 1 }],
    ...extra,
  };
}

/** A plain service. */
export function plainService(name) {
  return { name, healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false };
}
