import { ResultCode, SardinegradeError, ServiceKind } from '@sardinegrade/common';

import type { IncomingMessage } from 'node:http';
import type {
  ClassConfiguration,
  ClassName,
  Configuration,
  ServiceConfiguration,
  ServiceName,
  WorkspaceConfiguration,
} from '@sardinegrade/common';
import type { ChatTarget } from './types.js';

const CLASS_HEADER = 'sardinegrade-class';

/**
 * Checks whether a workspace may use a class.
 *
 * @param serviceClass - a class of a model service or plain service
 * @param workspace - the caller's workspace
 * @returns true if the class lists the workspace, or lists none and is open to all
 */
export const canUseClass = (
  serviceClass: ClassConfiguration,
  workspace: WorkspaceConfiguration,
): boolean =>
  serviceClass.workspaces.length === 0 || serviceClass.workspaces.includes(workspace.name);

const findService = (configuration: Configuration, model: string): ServiceConfiguration => {
  const byName = configuration.services.get(model as ServiceName);
  if (byName?.kind === ServiceKind.Model) return byName;
  for (const service of configuration.services.values()) {
    if (service.kind === ServiceKind.Model && service.model === model) return service;
  }
  throw new SardinegradeError(ResultCode.UnknownModel, `No model or model service '${model}'.`);
};

/**
 * Reads the class that a caller requests.
 *
 * @param request - the caller's request
 * @returns value of the header `sardinegrade-class`; undefined if it is missing
 */
export const readClassHeader = (request: IncomingMessage): string | undefined => {
  const value = request.headers[CLASS_HEADER];
  return typeof value === 'string' ? value : undefined;
};

/**
 * Finds the class of a request.
 *
 * @param service - the called service
 * @param workspace - the caller's workspace
 * @param requestedClass - value of the header `sardinegrade-class`; undefined for the service's default class
 * @returns the requested class, or the default class of the service
 * @throws SardinegradeError with code 1010 for an unknown class, 1011 for one that the workspace may not use
 */
export const findClass = (
  service: ServiceConfiguration,
  workspace: WorkspaceConfiguration,
  requestedClass: string | undefined,
): ClassConfiguration => {
  const name = (requestedClass ?? service.defaultClass) as ClassName;
  const serviceClass = service.classes.get(name);
  if (serviceClass === undefined) {
    const classNames = [...service.classes.keys()].join(', ');
    throw new SardinegradeError(
      ResultCode.UnknownClass,
      `Service '${service.name}' has no class '${name}'; it has ${classNames}.`,
    );
  }
  if (canUseClass(serviceClass, workspace)) return serviceClass;
  throw new SardinegradeError(
    ResultCode.ClassNotAllowed,
    `Workspace '${workspace.name}' may not use class '${name}' of service '${service.name}'.`,
  );
};

/**
 * Finds the service and class of a completion request.
 *
 * @param configuration - the active configuration
 * @param workspace - the caller's workspace
 * @param model - name of a model service, or of the model that it serves
 * @param requestedClass - value of the header `sardinegrade-class`; undefined for the service's default class
 * @returns the service and the class of the request
 * @throws SardinegradeError with code 1003 for an unknown model, 1010 or 1011 as `findClass`
 */
export const findTarget = (
  configuration: Configuration,
  workspace: WorkspaceConfiguration,
  model: string,
  requestedClass: string | undefined,
): ChatTarget => {
  const service = findService(configuration, model);
  return { service, serviceClass: findClass(service, workspace, requestedClass) };
};
