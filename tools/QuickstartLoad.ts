/** Callers of the quickstart: requests of all kinds, with each answer compared byte for byte. */
import { request } from 'undici';
import { expectedAnswer } from '../fakes/FakeEngine.js';
import { expectedReply } from '../fakes/FakeService.js';

/** A request and the answer that its caller must receive. */
export interface LoadCase {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly expected: string;
  /** Key under which the stand-ins count how often the request was run. */
  readonly marker: string;
  readonly repeatable: boolean;
}

/** Outcome of a request. */
export interface LoadResult {
  readonly verdict: 'whole' | 'wrong' | 'lost';
  readonly status: number;
  readonly detail: string;
}

const CUSTOMERS = ['apapa-hospital', 'kano-pharmacy', 'ikeja-clinic', 'lekki-buyers'] as const;

function completionCase(i: number, path: string, repeatable: boolean): LoadCase {
  const marker = `request-${i}`;
  const prompt = `Summarize shelf ${i % 7} for the buyer ${i}.`;
  const body = {
    model: 'stock-narrative',
    stream: i % 2 === 0,
    max_tokens: 8 + (i % 24),
    user: marker,
    ...(path.includes('chat') ? { messages: [{ role: 'user', content: prompt }] } : { prompt }),
  };
  return {
    path,
    headers: repeatable ? {} : { 'x-repeatable': 'false' },
    body: JSON.stringify(body),
    expected: expectedAnswer(body),
    marker,
    repeatable,
  };
}

function plainCase(i: number, path: string, repeatable: boolean): LoadCase {
  const body = JSON.stringify({ order: i, item: `sku-${i % 13}` });
  return { path, headers: {}, body, expected: expectedReply(path, body), marker: body, repeatable };
}

const CASE_KINDS: readonly ((i: number) => LoadCase)[] = [
  (i) => completionCase(i, '/v1/chat/completions', true),
  (i) => completionCase(i, '/v1/completions', true),
  (i) => completionCase(i, '/v1/chat/completions', false),
  (i) => plainCase(i, `/lookup/shelf-${i % 7}`, true),
  (i) => plainCase(i, '/reorder', false),
];

/** The i-th request; kinds and customers alternate. */
export function makeCase(i: number): LoadCase {
  const kind = CASE_KINDS[Math.floor(i / 2) % CASE_KINDS.length] ?? CASE_KINDS[0];
  const loadCase = kind?.(i) ?? completionCase(i, '/v1/completions', true);
  const customer = CUSTOMERS[i % CUSTOMERS.length] ?? CUSTOMERS[0];
  return { ...loadCase, headers: { ...loadCase.headers, 'x-customer': customer } };
}

/** Sends one request and checks its answer. */
export async function sendCase(address: string, spec: LoadCase): Promise<LoadResult> {
  try {
    const response = await request(`http://${address}${spec.path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...spec.headers },
      body: spec.body,
    });
    const text = await response.body.text();
    const status = response.statusCode;
    if (status !== 200) {
      return { verdict: 'lost', status, detail: text };
    }
    return text === spec.expected
      ? { verdict: 'whole', status, detail: '' }
      : { verdict: 'wrong', status, detail: text.slice(0, 200) };
  } catch (err) {
    return { verdict: 'lost', status: 0, detail: (err as Error).message };
  }
}

/** Sends requests 0 to `count` - 1, `concurrency` at a time. */
export async function runLoad(
  addresses: readonly string[],
  count: number,
  concurrency: number,
  onResult: (i: number, result: LoadResult) => void,
): Promise<void> {
  let next = 0;
  const worker = async (): Promise<void> => {
    if (next >= count) {
      return;
    }
    const i = next;
    next += 1;
    onResult(i, await sendCase(addresses[i % addresses.length] ?? '', makeCase(i)));
    await worker();
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
}

/** Number of runs of each marker, summed over all stand-ins. */
export async function countRuns(engines: readonly string[]): Promise<ReadonlyMap<string, number>> {
  const all = await Promise.all(
    engines.map(async (address) => {
      const response = await request(`http://${address}/runs`);
      return (await response.body.json()) as Readonly<Record<string, number>>;
    }),
  );
  const total = new Map<string, number>();
  all
    .flatMap((runs) => Object.entries(runs))
    .forEach(([marker, runs]) => total.set(marker, (total.get(marker) ?? 0) + runs));
  return total;
}
