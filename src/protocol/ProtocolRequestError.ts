/** The error that callers receive, with a stable code and whether the request was run. */

/** Whether the failed request was run; `unknown` if that can't be determined. */
export type Outcome = 'not_run' | 'unknown' | 'failed';

interface CodeSpec {
  readonly status: number;
  readonly type: string;
  readonly outcome: Outcome;
  /** Seconds after which the caller should retry; absent if a retry is pointless. */
  readonly retryAfterSeconds?: number;
}

/** All codes that callers can receive. Codes are stable: they are never renamed or reused. */
export const ERROR_CODES = {
  bad_request: { status: 400, type: 'invalid_request', outcome: 'not_run' },
  body_timeout: { status: 408, type: 'timeout', outcome: 'not_run', retryAfterSeconds: 1 },
  too_large: { status: 413, type: 'invalid_request', outcome: 'not_run' },
  unknown_customer: { status: 403, type: 'invalid_request', outcome: 'not_run' },
  unknown_key: { status: 401, type: 'invalid_request', outcome: 'not_run' },
  unknown_model: { status: 404, type: 'invalid_request', outcome: 'not_run' },
  unknown_path: { status: 404, type: 'invalid_request', outcome: 'not_run' },
  key_unsupported: { status: 501, type: 'invalid_request', outcome: 'not_run' },
  customer_limit: { status: 429, type: 'overloaded', outcome: 'not_run', retryAfterSeconds: 1 },
  overloaded: { status: 503, type: 'overloaded', outcome: 'not_run', retryAfterSeconds: 1 },
  no_endpoint: { status: 503, type: 'unavailable', outcome: 'not_run', retryAfterSeconds: 2 },
  not_ready: { status: 503, type: 'unavailable', outcome: 'not_run', retryAfterSeconds: 1 },
  leaving: { status: 503, type: 'unavailable', outcome: 'not_run', retryAfterSeconds: 1 },
  revoked: { status: 503, type: 'unavailable', outcome: 'not_run', retryAfterSeconds: 1 },
  quarantined: { status: 503, type: 'unavailable', outcome: 'not_run' },
  wrong_incarnation: { status: 503, type: 'unavailable', outcome: 'not_run', retryAfterSeconds: 1 },
  deadline_exceeded: { status: 504, type: 'timeout', outcome: 'not_run', retryAfterSeconds: 1 },
  outcome_unknown: { status: 502, type: 'unavailable', outcome: 'unknown' },
  answer_cut: { status: 502, type: 'unavailable', outcome: 'failed', retryAfterSeconds: 1 },
  endpoint_failed: { status: 502, type: 'unavailable', outcome: 'failed', retryAfterSeconds: 1 },
} as const satisfies Record<string, CodeSpec>;

/** A stable error code. */
export type ErrorCode = keyof typeof ERROR_CODES;

/** Body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly type: string;
    readonly code: ErrorCode;
    readonly outcome: Outcome;
    readonly message: string;
    readonly requestId?: string;
    readonly retryAfterSeconds?: number;
  };
}

/** Whether a string is one of {@link ERROR_CODES}. */
export function isErrorCode(code: string): code is ErrorCode {
  return Object.hasOwn(ERROR_CODES, code);
}

/** A request that failed. `outcome` overrides the outcome of the code. */
export class RequestError extends Error {
  readonly #code: ErrorCode;

  readonly #outcome: Outcome;

  constructor(code: ErrorCode, message: string, outcome?: Outcome) {
    super(message);
    this.name = 'RequestError';
    this.#code = code;
    this.#outcome = outcome ?? ERROR_CODES[code].outcome;
  }

  get code(): ErrorCode {
    return this.#code;
  }

  get outcome(): Outcome {
    return this.#outcome;
  }

  /** HTTP status code. */
  get status(): number {
    return ERROR_CODES[this.#code].status;
  }

  /** Seconds after which the caller should retry, if a retry makes sense. */
  get retryAfterSeconds(): number | undefined {
    const spec: CodeSpec = ERROR_CODES[this.#code];
    return spec.retryAfterSeconds;
  }

  /** JSON body for the caller. */
  toBody(requestId?: string): ErrorBody {
    const retryAfter = this.retryAfterSeconds;
    return {
      error: {
        type: ERROR_CODES[this.#code].type,
        code: this.#code,
        outcome: this.#outcome,
        message: this.message,
        ...(requestId === undefined ? {} : { requestId }),
        ...(retryAfter === undefined ? {} : { retryAfterSeconds: retryAfter }),
      },
    };
  }
}
