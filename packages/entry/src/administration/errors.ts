import { ResultCode, SardinegradeError } from '@sardinegrade/common';

/** Error for a request that the administration API rejects. */
export class ApiError extends SardinegradeError {
  constructor(code: ResultCode, message: string) {
    super(code, message);
    this.name = 'ApiError';
  }
}

/** Error for a method that the path does not support. */
export class MethodError extends ApiError {
  /** Supported methods, sent in the `Allow` header. */
  readonly allowed: readonly string[];

  constructor(method: string, allowed: readonly string[]) {
    super(
      ResultCode.MethodNotAllowed,
      `The path does not take ${method}; it takes ${allowed.join(', ')}.`,
    );
    this.name = 'MethodError';
    this.allowed = allowed;
  }
}
