/** Lookup tables of a route plan, derived once a configuration. */
import type { KeyedCustomer, Route, RoutePlan, ServiceSpec } from '../protocol/index.js';

/** Tables that a request needs. */
export interface RouteView {
  readonly plan: RoutePlan;
  /** Routes of a host, longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  readonly byKey: ReadonlyMap<string, KeyedCustomer>;
  readonly services: ReadonlyMap<string, ServiceSpec>;
}

/** Derives the tables. */
export function viewRoutes(plan: RoutePlan): RouteView {
  const byHost = new Map<string, Route[]>();
  plan.routes.forEach((route) => {
    byHost.set(route.host, [...(byHost.get(route.host) ?? []), route]);
  });
  byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return {
    plan,
    byHost,
    byKey: new Map(
      plan.customers.flatMap((customer) => customer.keys.map((key) => [key, customer])),
    ),
    services: new Map(plan.services.map((service) => [service.name, service])),
  };
}

/** Host of a `Host` header: in lower case, without the port. */
function hostOf(header: string): string {
  return header.toLowerCase().replace(/:\d+$/, '');
}

/** The route of a request: of those of its host, the one with the longest prefix of its path. */
export function findRoute(view: RouteView, host: string, path: string): Route | undefined {
  const query = path.indexOf('?');
  const plain = query < 0 ? path : path.slice(0, query);
  return view.byHost.get(hostOf(host))?.find(({ pathPrefix }) => plain.startsWith(pathPrefix));
}

/** Picks one of a route's services by weight; `random` is from 0 to 1. */
export function pickTarget(route: Route, random: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  const found = route.targets.find(({ weight }) => {
    left -= weight;
    return weight > 0 && left < 0;
  });
  return (found ?? route.targets.findLast(({ weight }) => weight > 0))?.service ?? '';
}
