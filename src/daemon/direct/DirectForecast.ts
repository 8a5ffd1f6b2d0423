/** Expected capacity and speed of a service, on which the admission of an entry process is based. */
import {
  freeSlotsAt,
  generationTime,
  isOpenGroup,
  ownRequestsAt,
  type GroupGrants,
  type GroupSlots,
  type QueueForecast,
} from '../../coordination/index.js';
import type { DirectGroups, ModelService } from './DirectGroups.js';

/** Number of engine passes between sending a request and its first event, apart from reading the prompt. */
const FIRST_EVENT_PASSES = 1.5;

/** Overhead of connections and forwarding in the time to the first event, ms. */
const FIRST_EVENT_OVERHEAD_MS = 30;

/** Inputs to a forecast apart from the groups themselves. */
export interface ForecastInput {
  readonly service: string;
  readonly model: ModelService;
  /** Number of admitted requests that haven't been sent yet, without those that have a grant. */
  readonly unsent: number;
  /** Slots that are free where requests start without a grant; by default, by the even share. */
  readonly freeAt: ((group: GroupSlots) => number) | null;
  readonly grants: GroupGrants | null;
}

/**
 * Requests that this process may run at a group by its last complete load. While no load arrives the allowance is
 * discounted so that no slots are given out twice; how fast the group serves isn't known to have changed, and requests
 * that it could still serve must not be refused at once.
 */
function usualAllowance({ allowance, allowanceAtLoad }: GroupSlots): number {
  return Number.isFinite(allowanceAtLoad) ? Math.max(allowance, allowanceAtLoad) : allowance;
}

/** Forecast for a service with groups. */
export function forecastService(groups: DirectGroups, input: ForecastInput): QueueForecast {
  const { service, model, unsent, freeAt, grants } = input;
  const { costs } = model;
  const { own } = groups;
  const all = groups.at(service);
  const openGroups = all.filter(isOpenGroup).filter((group) => groups.hasUsable(group));
  const free = openGroups.reduce(
    (total, group) => total + (freeAt?.(group) ?? freeSlotsAt(group, own)),
    0,
  );
  const slots = all.reduce(
    (total, group) => total + Math.max(usualAllowance(group), ownRequestsAt(group, own)),
    0,
  );
  const passMs = all.reduce((total, group) => total + group.passMs, 0) / all.length;
  const writeMs = (tokens: number): number => generationTime(costs, tokens, passMs);
  return {
    free: Math.max(0, free - unsent),
    isRecovering: groups.isRecovering(service),
    isLongDown: groups.isLongDown(service),
    ratePerMs: openGroups.length > 0 ? slots / Math.max(1, writeMs(costs.usualAnswer)) : 0,
    firstMs:
      FIRST_EVENT_PASSES * passMs +
      costs.usualPrompt / costs.readTokensPerMs +
      FIRST_EVENT_OVERHEAD_MS,
    writeMs,
    grants,
  };
}
