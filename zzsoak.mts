import { runConfigSoak } from './soak/SoakConfigRun.ts';
const seed = Number(process.argv[2] ?? 1), n = Number(process.argv[3] ?? 1), rounds = Number(process.argv[4] ?? 2);
for (let i = 0; i < n; i += 1) {
  const t = Date.now();
  const { plan, ...r } = await runConfigSoak({ seed: seed + i, controls: 6, lossesBorne: 2, entries: 2, rounds, logs: (process.argv[5] ?? 'ignore') as any });
  console.log(JSON.stringify({ ...r, s: (Date.now() - t) / 1000, plan: process.argv[5] ? plan : undefined }));
}
process.exit(0);
