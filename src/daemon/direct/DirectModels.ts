/** Model services of the configuration in force, as the admission of an entry process needs them. */
import type { Route } from '../../protocol/index.js';
import type { RouteView } from '../../state/index.js';
import { DEFAULT_PAUSE_MS, type ModelService } from './DirectGroups.js';

/** Whether routes have different priorities. */
function havePriorities(routes: readonly Route[]): boolean {
  return new Set(routes.map(({ priority }) => priority)).size > 1;
}

/** Largest value of a forwarded request's urgency, for the least urgent requests. */
const MAX_URGENCY = 9;

/** Cache of model services by name; null for other services. */
export class DirectModels {
  readonly #services = new Map<string, ModelService | null>();

  #routes: RouteView | null = null;

  /** Puts the routes of a new configuration in force. */
  setRoutes(routes: RouteView | null): void {
    this.#routes = routes;
    this.#services.clear();
  }

  at(service: string): ModelService | null {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const costs = this.#routes?.services.get(service)?.engine ?? null;
    const routes = (this.#routes?.plan.routes ?? []).filter(({ targets }) =>
      targets.some((target) => target.service === service),
    );
    const pauseLimits = routes.flatMap(({ pauseMs }) => (pauseMs === null ? [] : [pauseMs]));
    const pauseMs = pauseLimits.length === 0 ? DEFAULT_PAUSE_MS : Math.min(...pauseLimits);
    const model = costs === null ? null : { costs, pauseMs, byUrgency: havePriorities(routes) };
    this.#services.set(service, model);
    return model;
  }

  /** Urgency of a request for the engine, from its priority; null where all routes of the service have one priority. */
  urgencyOf(service: string, priority: number): number | null {
    return this.at(service)?.byUrgency === true
      ? Math.min(MAX_URGENCY, Math.max(0, Math.round(priority)))
      : null;
  }
}
