/** `npm run bench -- NAME [SEED]`: runs a bench, which prints one JSON line per case. */

/** A bench; the seed determines every random choice. */
export type Bench = (seed: number) => Promise<void>;

const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  'control-cost': async () => (await import('./BenchControlCost.js')).benchControlCost,
  overhead: async () => (await import('./BenchOverhead.js')).benchOverhead,
  plan: async () => (await import('./BenchPlan.js')).benchPlan,
  placement: async () => (await import('./BenchPlacement.js')).benchPlacement,
  routing: async () => (await import('./BenchRouting.js')).benchRouting,
  quarantine: async () => (await import('./BenchQuarantine.js')).benchQuarantine,
  'prompt-parts': async () => (await import('./BenchPromptParts.js')).benchPromptParts,
  recovery: async () => (await import('./BenchRecovery.js')).benchRecovery,
};

const [name = '', seed = '1'] = process.argv.slice(2);
const load = BENCHES[name];
if (load === undefined) {
  process.stderr.write(`no bench "${name}"; there are: ${Object.keys(BENCHES).join(', ')}\n`);
  process.exitCode = 2;
} else {
  const bench = await load();
  await bench(Number(seed));
}
