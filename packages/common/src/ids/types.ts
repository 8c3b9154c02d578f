/** Branded identifier types, so that the compiler rejects one kind of name in place of another. */

declare const BRAND: unique symbol;

/** A string type that is assignable only from the same brand. */
export type Branded<Name extends string> = string & { readonly [BRAND]: Name };

export type VmId = Branded<'VmId'>;
export type DataCentreName = Branded<'DataCentreName'>;
export type ServiceName = Branded<'ServiceName'>;
export type ClassName = Branded<'ClassName'>;
export type WorkspaceName = Branded<'WorkspaceName'>;
export type ModelName = Branded<'ModelName'>;
export type PoolName = Branded<'PoolName'>;
export type UpstreamId = Branded<'UpstreamId'>;
export type RequestId = Branded<'RequestId'>;
/** Version of a worker's software. */
export type BuildName = Branded<'BuildName'>;
export type AttemptId = Branded<'AttemptId'>;
export type Fingerprint = Branded<'Fingerprint'>;
