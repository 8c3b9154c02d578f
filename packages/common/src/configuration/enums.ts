/** Service tiers, highest first. */
export enum Tier {
  Premium = 'premium',
  Paying = 'paying',
  Trial = 'trial',
  Free = 'free',
}

/** Kind of upstream that serves a service: a language model or any other HTTP service. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}

/**
 * Whether an upstream checks the fencing number of a controller's command, such as one to load a
 * model or to change the role of the engine.
 */
export enum FencingSupport {
  Checked = 'checked',
  Ignored = 'ignored',
}
