/**
 * `npm run check:model`: explores every specification. With `--mutants` it also explores each one with a
 * single safeguard disabled, which must violate an invariant. Fails on a violation of a whole specification,
 * and on a mutant without one.
 */
import { exploreSpec, safeguardsWithout } from './SpecExplorer.js';
import { SPECS } from './SpecList.js';

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function checkSpecs(): boolean {
  return SPECS.map((spec) => {
    const found = exploreSpec(spec, safeguardsWithout(spec));
    printLine(
      `${spec.name}: bounds ${spec.bounds}, ${found.states} states, ${found.transitions} transitions, ` +
        `${found.seconds.toFixed(1)} s, violations ${found.violated.length}`,
    );
    if (found.trace !== null) {
      printLine(`  VIOLATED ${found.violated.join(', ')}:\n    ${found.trace.join('\n    ')}`);
    }
    return found.trace === null;
  }).every(Boolean);
}

function checkMutants(): boolean {
  return SPECS.flatMap((spec) =>
    spec.safeguards.map((safeguard) => {
      const found = exploreSpec(spec, safeguardsWithout(spec, [safeguard]));
      if (found.trace === null) {
        printLine(`${spec.name} without "${safeguard}": SURVIVED, ${found.states} states`);
        return false;
      }
      printLine(
        `${spec.name} without "${safeguard}": ${found.violated.join(', ')} after ` +
          `${found.trace.length} events (${found.states} states, ${found.seconds.toFixed(1)} s)`,
      );
      printLine(`    ${found.trace.join('\n    ')}`);
      return true;
    }),
  ).every(Boolean);
}

const specsHold = checkSpecs();
const mutantsFail = process.argv.includes('--mutants') ? checkMutants() : true;
process.exitCode = specsHold && mutantsFail ? 0 : 1;
