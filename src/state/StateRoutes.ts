/** Lookup tables of a route plan, derived once per configuration. */
import type { KeyedCustomer, Route, RoutePlan, ServiceSpec } from '../protocol/index.js';

/** Lookup tables for requests. */
export interface RouteView {
  readonly plan: RoutePlan;
  /** Routes of a host, longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  readonly byKey: ReadonlyMap<string, KeyedCustomer>;
  /** Whether requests need a key, but for those of anonymous routes. */
  readonly asksForKeys: boolean;
  readonly services: ReadonlyMap<string, ServiceSpec>;
}

/** Derives the lookup tables. */
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
      plan.customers?.flatMap((customer) => customer.keys.map((key) => [key, customer])),
    ),
    asksForKeys: plan.customers !== null,
    services: new Map(plan.services.map((service) => [service.name, service])),
  };
}

/** Host name of a `Host` header, in lower case and without the port. */
function hostOf(header: string): string {
  return header.toLowerCase().replace(/:\d+$/, '');
}

/** Finds the route of a request: the route of its host with the longest matching path prefix. */
export function findRoute(view: RouteView, host: string, path: string): Route | undefined {
  const query = path.indexOf('?');
  const plain = query < 0 ? path : path.slice(0, query);
  return view.byHost.get(hostOf(host))?.find(({ pathPrefix }) => plain.startsWith(pathPrefix));
}

/** Picks one of a route's services by weight; `random` is a number from 0 to 1. Empty if no service has any weight. */
export function pickTarget(route: Route, random: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  const found = route.targets.find(({ weight }) => {
    left -= weight;
    return weight > 0 && left < 0;
  });
  return (found ?? route.targets.findLast(({ weight }) => weight > 0))?.service ?? '';
}
