/** Test double for the disk of a control host. */
/** A disk that can be made to refuse writes, or to stall them until it is repaired. */
export class FakeDisk {
  readonly identity: { readonly replica: string };

  readonly recovered: readonly unknown[] = [];

  #fault: 'full' | 'stalled' | null = null;

  #release: (() => void) | null = null;

  #repaired: Promise<void> = Promise.resolve();

  constructor(replica: string) {
    this.identity = { replica };
  }

  fail(fault: 'full' | 'stalled'): void {
    this.#fault = fault;
    this.#repaired = new Promise((resolve) => {
      this.#release = resolve;
    });
  }

  repair(): void {
    this.#fault = null;
    this.#release?.();
  }

  async append(): Promise<void> {
    if (this.#fault === 'full') {
      throw new Error('no space left');
    }
    await this.#repaired;
  }

  async rewrite(): Promise<void> {
    await this.append();
  }
}
