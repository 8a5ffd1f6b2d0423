import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { MemberRecord } from '../../../protocol/index.js';
import {
  dropExpiredRefusals,
  clearRefusals,
  refusingEndpoints,
  recordRefusal,
  type EndpointRefusals,
} from '../../EndpointRefusals.js';
import { initRouting, routeRequest, updateRouting } from '../../Routing.js';

const NONE: EndpointRefusals = new Map();

/** Times of refusals, ms, if a process sends a request as soon as the endpoint isn't avoided. */
function refusalTimes(ms: number): readonly number[] {
  const times: number[] = [];
  let refusals = NONE;
  for (let now = 0; now < ms; now += 1) {
    if (refusingEndpoints(refusals, now).length === 0) {
      refusals = recordRefusal(refusals, 'a', now);
      times.push(now);
    }
  }
  return times;
}

const endpoint = (id: string): MemberRecord => ({
  id,
  role: 'endpoint',
  zone: 'z',
  address: '127.0.0.1:1',
  incarnation: 1,
  version: 1,
  status: 'serving',
  offer: { fleet: 'f', service: 's', slots: 4 },
});

const CALL_MS = 60;

const REFUSING = ['a', 'b'];

/** A service with six endpoints: two refuse at once, and the others take {@link CALL_MS} for a call. */
class Service {
  readonly #usesRefusals: boolean;

  readonly #rng = xoroshiro128plus(7);

  #state = updateRouting(
    initRouting('z'),
    { type: 'members', records: ['a', 'b', 'c', 'd', 'e', 'f'].map(endpoint) },
    0,
  );

  #refusals = NONE;

  #running: readonly { readonly id: string; readonly until: number }[] = [];

  #sends = 0;

  #refused = 0;

  constructor(usesRefusals: boolean) {
    this.#usesRefusals = usesRefusals;
  }

  /** Share of all sent requests that were refused. */
  get refusedShare(): number {
    return this.#refused / this.#sends;
  }

  /** Sends a request, and retries it once if it is refused. */
  call(now: number): void {
    this.#finishCalls(now);
    const first = this.#send([], now);
    if (REFUSING.includes(first)) {
      this.#send([first], now);
    }
  }

  #finishCalls(now: number): void {
    this.#running
      .filter(({ until }) => until <= now)
      .forEach(({ id }) => {
        this.#state = updateRouting(this.#state, { type: 'done', id, result: 'whole' }, now);
        this.#refusals = clearRefusals(this.#refusals, id);
      });
    this.#running = this.#running.filter(({ until }) => until > now);
  }

  #send(tried: readonly string[], now: number): string {
    const avoided = this.#usesRefusals ? refusingEndpoints(this.#refusals, now) : [];
    const req = { service: 'f/s', prefix: null, exclude: [...tried, ...avoided] };
    const id = routeRequest(this.#state, req, now, this.#rng).endpoint?.id ?? '';
    this.#sends += 1;
    this.#state = updateRouting(this.#state, { type: 'sent', id }, now);
    if (REFUSING.includes(id)) {
      this.#refused += 1;
      this.#state = updateRouting(this.#state, { type: 'done', id, result: 'refused' }, now);
      this.#refusals = recordRefusal(this.#refusals, id, now);
    } else {
      this.#running = [...this.#running, { id, until: now + CALL_MS }];
    }
    return id;
  }
}

/** Share of sent requests that are refused, with a request each 5 ms for 10 s. */
function refusedShare(usesRefusals: boolean): number {
  const service = new Service(usesRefusals);
  for (let now = 60_000; now < 70_000; now += 5) {
    service.call(now);
  }
  return service.refusedShare;
}

describe('EndpointRefusals', () => {
  // An endpoint that refuses at once looks idle; without avoidance it gets most first attempts and retries.
  it('keeps most requests away from refusing endpoints while others have work', () => {
    assert.ok(refusedShare(false) > 0.5, 'by the least work alone');
    assert.ok(refusedShare(true) < 0.02, 'with refusing endpoints avoided');
  });

  it('doubles the time for which an endpoint is avoided, up to the maximum', () => {
    assert.deepEqual(refusalTimes(4_000), [0, 100, 300, 700, 1_500, 2_300, 3_100, 3_900]);
  });

  it('counts refusals of requests that were in flight together once', () => {
    const first = recordRefusal(NONE, 'a', 0);
    assert.equal(recordRefusal(first, 'a', 50), first);
  });

  it('clears refusals after a complete answer, and drops them with time', () => {
    const two = recordRefusal(recordRefusal(NONE, 'a', 0), 'b', 0);
    assert.deepEqual(refusingEndpoints(two, 99), ['a', 'b']);
    assert.deepEqual(refusingEndpoints(clearRefusals(two, 'a'), 99), ['b']);
    assert.equal(clearRefusals(two, 'c'), two);
    assert.equal(dropExpiredRefusals(two, 1_999), two);
    assert.equal(dropExpiredRefusals(two, 2_000).size, 0);
    const again = recordRefusal(two, 'a', 2_500);
    assert.equal(again.get('a')?.until, 2_600);
  });
});
