/** Route and customer of a request at an entry process. */
import type { IncomingMessage } from 'node:http';
import { RequestError, type KeyedCustomer, type Route } from '../../protocol/index.js';
import { findRoute } from '../../state/index.js';
import type { DirectEntryState } from './DirectEntryState.js';

/** A request's route, and its customer; null if the request needs no key. */
interface Authorized {
  readonly route: Route;
  readonly customer: KeyedCustomer | null;
}

/**
 * Finds the route and the customer of a request.
 *
 * Callers don't retry after 401 or 404, so a process with an outdated configuration must not refuse a new key or path
 * with these. They are sent only if the configuration was proven to be the newest shortly before; else the request is
 * refused with 503, which callers retry elsewhere. So is every request while a newer configuration that has to be in
 * force hasn't arrived. Known keys are accepted as long as none can have been revoked.
 *
 * @throws {RequestError} where the request is refused.
 */
export function authorize(
  state: DirectEntryState,
  req: IncomingMessage,
  key: string | null,
): Authorized {
  const { routes, isFresh, isProven, isOutdated, mayDeny } = state;
  if (routes === null || !isProven || isOutdated) {
    throw new RequestError('not_ready', state.readiness);
  }
  const route = findRoute(routes, req.headers.host ?? '', req.url ?? '/');
  const needsKey = routes.plan.customers.length > 0 && route?.anonymous !== true;
  const customer = key === null ? undefined : routes.byKey.get(key);
  const isOpen = route !== undefined && !needsKey;
  const isKnown = route !== undefined && customer !== undefined && isFresh;
  if (isOpen || isKnown) {
    return { route, customer: customer ?? null };
  }
  if (!mayDeny) {
    throw new RequestError('not_ready', 'not sure that the configuration is the newest');
  }
  if (route === undefined) {
    throw new RequestError('unknown_path', `no route for ${req.url ?? ''}`);
  }
  throw new RequestError('unknown_key', 'no customer has this key');
}
