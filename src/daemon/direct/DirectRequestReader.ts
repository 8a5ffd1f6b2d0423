/** Reads callers' requests at an entry process and decides by which customer and route they are handled. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  RequestError,
  type ErrorCode,
  type KeyedCustomer,
  type Route,
} from '../../protocol/index.js';
import { findRoute, pickTarget } from '../../state/index.js';
import type { DaemonBodies } from '../DaemonBodies.js';
import type { DirectEntryState } from './DirectEntryState.js';
import type { DirectLeaving } from './DirectLeaving.js';
import type { DirectReply } from './DirectReply.js';
import type { DirectRequest } from './DirectRequest.js';

/** Codes after which callers don't retry. */
const FINAL_CODES: ReadonlySet<ErrorCode> = new Set(['unknown_path', 'unknown_key']);

/** Reader of one entry process. */
export class DirectRequestReader {
  readonly #state: DirectEntryState;

  readonly #bodies: DaemonBodies;

  readonly #leaving: DirectLeaving;

  /** Returns a number from 0 to 1. */
  readonly #random: () => number;

  constructor(
    state: DirectEntryState,
    bodies: DaemonBodies,
    leaving: DirectLeaving,
    random: () => number,
  ) {
    this.#state = state;
    this.#bodies = bodies;
    this.#leaving = leaving;
    this.#random = random;
  }

  get #hasConfig(): boolean {
    return this.#state.config.routes !== null && this.#state.config.isProven;
  }

  /** Waits for a condition that a newly started process may not meet yet, while the caller stays connected. */
  async #awaitStartup(
    reply: DirectReply,
    startedAt: number,
    timeoutMs: number | null,
    isMet: () => boolean,
  ): Promise<void> {
    if (isMet()) {
      return;
    }
    const disconnected = new AbortController();
    const unregister = reply.registerClose(() => disconnected.abort());
    await this.#state.startup.waitUntil(
      isMet,
      startedAt,
      timeoutMs ?? Infinity,
      disconnected.signal,
    );
    unregister();
  }

  /**
   * Reads a complete request, and determines its customer, route and service.
   *
   * @throws {RequestError} if it is refused.
   */
  async read(
    req: IncomingMessage,
    res: ServerResponse,
    reply: DirectReply,
    startedAt: number,
  ): Promise<DirectRequest> {
    const head = this.#state.dialect.readRequest(req.headers);
    this.#refuseUnauthorized(req, head.key);
    const body = await this.#bodies.read(req, res, {
      maxBytes: this.#state.config.routes?.plan.limits.maxBodyBytes,
      timeoutMs: this.#bodyTimeoutMs(req, head.deadlineMs),
      delay: this.#state.readLimits.openRequestBody(),
    });
    await this.#awaitStartup(reply, startedAt, head.deadlineMs, () => this.#hasConfig);
    const { route, customer } = this.#authorize(req, head.key);
    this.#leaving.check(route);
    const timeoutMs = Math.min(route.timeoutMs, head.deadlineMs ?? route.timeoutMs);
    const service = pickTarget(route, this.#random());
    await this.#awaitStartup(reply, startedAt, timeoutMs, () => this.#state.knowsEndpoint(service));
    return {
      req,
      reply,
      head,
      route,
      service,
      customer,
      body,
      identity: {
        customer: route.anonymous ? '' : (customer?.name ?? ''),
        method: req.method ?? 'GET',
        host: req.headers.host ?? '',
        path: req.url ?? '/',
        body,
        sharedParts: head.sharedParts,
      },
      startedAt,
      deadline: startedAt + timeoutMs,
    };
  }

  /**
   * Refuses a request for a path or with a key that certainly doesn't exist before its body is read. Whether one that
   * can't be served now can be once its body is there is decided then.
   */
  #refuseUnauthorized(req: IncomingMessage, key: string | null): void {
    if (!this.#hasConfig || !this.#state.config.mayDeny) {
      return;
    }
    try {
      this.#authorize(req, key);
    } catch (err) {
      if (err instanceof RequestError && FINAL_CODES.has(err.code)) {
        throw err;
      }
    }
  }

  /**
   * Time until the body of a request has to be complete, ms: the time that its answer may take in all. Undefined where
   * neither the caller nor the route limits it.
   */
  #bodyTimeoutMs(req: IncomingMessage, deadlineMs: number | null): number | undefined {
    const { routes } = this.#state.config;
    const route =
      routes === null ? undefined : findRoute(routes, req.headers.host ?? '', req.url ?? '/');
    const limits = [deadlineMs, route?.timeoutMs].filter((ms) => typeof ms === 'number');
    return limits.length === 0 ? undefined : Math.min(...limits);
  }

  /**
   * Finds the route and the customer of a request.
   *
   * Callers don't retry after 401 or 404, so a process with an outdated configuration must not refuse a new key or
   * path with these. They are sent only if the configuration was proven to be the newest shortly before; else the
   * request is refused with 503, which callers retry elsewhere. So is every request while a newer configuration that has
   * to be in force hasn't arrived. Known keys are accepted as long as none can have been revoked.
   */
  #authorize(
    req: IncomingMessage,
    key: string | null,
  ): { readonly route: Route; readonly customer: KeyedCustomer | null } {
    const { routes, isFresh, isProven, isOutdated, mayDeny } = this.#state.config;
    if (routes === null || !isProven || isOutdated) {
      throw new RequestError('not_ready', this.#state.readiness);
    }
    const route = findRoute(routes, req.headers.host ?? '', req.url ?? '/');
    const needsKey = routes.asksForKeys && route?.anonymous !== true;
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
}
