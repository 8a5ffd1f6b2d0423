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

/** How many refusals in a row are met by a process that asks again as soon as it may. */
function refuseFor(ms: number): readonly number[] {
  const met: number[] = [];
  let refusals = NONE;
  for (let now = 0; now < ms; now += 1) {
    if (refusingEndpoints(refusals, now).length === 0) {
      refusals = recordRefusal(refusals, 'a', now);
      met.push(now);
    }
  }
  return met;
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

/** A service of six endpoints, two of which refuse at once; calls of the others take a time. */
class Service {
  readonly #usesRefusals: boolean;

  readonly #rng = xoroshiro128plus(7);

  #state = updateRouting(
    initRouting('z'),
    { type: 'members', records: ['a', 'b', 'c', 'd', 'e', 'f'].map(endpoint) },
    0,
  );

  #refusals = NONE;

  #working: readonly { readonly id: string; readonly until: number }[] = [];

  #sends = 0;

  #refused = 0;

  constructor(usesRefusals: boolean) {
    this.#usesRefusals = usesRefusals;
  }

  /** Share of all sends that were refused. */
  get refusedShare(): number {
    return this.#refused / this.#sends;
  }

  /** Sends a request, and once more where it is refused. */
  call(now: number): void {
    this.#end(now);
    const first = this.#send([], now);
    if (REFUSING.includes(first)) {
      this.#send([first], now);
    }
  }

  #end(now: number): void {
    this.#working
      .filter(({ until }) => until <= now)
      .forEach(({ id }) => {
        this.#state = updateRouting(this.#state, { type: 'done', id, result: 'whole' }, now);
        this.#refusals = clearRefusals(this.#refusals, id);
      });
    this.#working = this.#working.filter(({ until }) => until > now);
  }

  #send(tried: readonly string[], now: number): string {
    const passedOver = this.#usesRefusals ? refusingEndpoints(this.#refusals, now) : [];
    const req = { service: 'f/s', prefix: null, exclude: [...tried, ...passedOver] };
    const id = routeRequest(this.#state, req, now, this.#rng).endpoint?.id ?? '';
    this.#sends += 1;
    this.#state = updateRouting(this.#state, { type: 'sent', id }, now);
    if (REFUSING.includes(id)) {
      this.#refused += 1;
      this.#state = updateRouting(this.#state, { type: 'done', id, result: 'refused' }, now);
      this.#refusals = recordRefusal(this.#refusals, id, now);
    } else {
      this.#working = [...this.#working, { id, until: now + CALL_MS }];
    }
    return id;
  }
}

/** Share of sends that are refused under a request each 5 ms, for 10 s. */
function refusedShare(usesRefusals: boolean): number {
  const service = new Service(usesRefusals);
  for (let now = 60_000; now < 70_000; now += 5) {
    service.call(now);
  }
  return service.refusedShare;
}

describe('refusals of endpoints', () => {
  // Guards against: an endpoint that refuses at once looks idle, and draws first tries and second ones.
  it('draw few requests where others of the service have work', () => {
    assert.ok(refusedShare(false) > 0.5, 'by least work alone');
    assert.ok(refusedShare(true) < 0.02, 'with refusals passed over');
  });

  it('are met again after twice the time, up to the longest', () => {
    assert.deepEqual(refuseFor(4_000), [0, 100, 300, 700, 1_500, 2_300, 3_100, 3_900]);
  });

  it('count once where several come of requests that were on their way together', () => {
    const first = recordRefusal(NONE, 'a', 0);
    assert.equal(recordRefusal(first, 'a', 50), first);
  });

  it('end with a whole answer, and are forgotten with time', () => {
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
