/** Thrown if a journal is corrupt before its last record: the replica must rejoin with a new data folder. */
export class StateCorruptError extends Error {
  readonly #file: string;

  readonly #offset: number;

  constructor(file: string, offset: number) {
    super(`${file}: corrupt record at offset ${offset}, with valid records behind it`);
    this.name = 'StateCorruptError';
    this.#file = file;
    this.#offset = offset;
  }

  get file(): string {
    return this.#file;
  }

  /** Offset in bytes. */
  get offset(): number {
    return this.#offset;
  }
}
