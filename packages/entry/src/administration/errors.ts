import { ResultCode, SardinegradeError } from '@sardinegrade/common';

/** A request that the API cannot take as it was sent. */
export class ApiError extends SardinegradeError {
  constructor(code: ResultCode, message: string) {
    super(code, message);
    this.name = 'ApiError';
  }
}

/** A method that the path does not take. */
export class MethodError extends ApiError {
  /** The methods that it takes. */
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
