/** Digests of the parts of prompts, computed once for a part that many requests share. */
import { digestPromptPart, type RequestIdentity } from '../protocol/index.js';

/** Maximum number of parts in one of the two generations: three prompts that fill the head of their request. */
const MAX_PER_GENERATION = 4_096;

/** The digests kept by one process. */
export class DaemonPartDigests {
  readonly #ofRequests = new WeakMap<RequestIdentity, readonly string[]>();

  /** Digest of each part by its id, in two generations by their last use. */
  #recent = new Map<string, string>();

  #older = new Map<string, string>();

  /** Digests of all shared parts of a request's prompt; their number is limited only by the size of its head. */
  of(identity: RequestIdentity): readonly string[] {
    const { sharedParts = [] } = identity;
    const digests =
      this.#ofRequests.get(identity) ?? sharedParts.map((part) => this.#digestOf(part));
    this.#ofRequests.set(identity, digests);
    return digests;
  }

  #digestOf(part: string): string {
    const recent = this.#recent.get(part);
    if (recent !== undefined) {
      return recent;
    }
    const digest = this.#older.get(part) ?? digestPromptPart(part);
    if (this.#recent.size >= MAX_PER_GENERATION) {
      this.#older = this.#recent;
      this.#recent = new Map();
    }
    this.#recent.set(part, digest);
    return digest;
  }
}
