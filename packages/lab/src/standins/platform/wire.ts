import type { ObjectChange, PlatformObject, PlatformVm } from '@sardinegrade/platform';

/** @returns an object in the API's JSON format */
export const formatObject = (object: PlatformObject) => ({
  kind: object.kind,
  name: object.name,
  version: object.version,
  change_id: object.changeId,
  value: object.value,
});

/** @returns a change in the API's JSON format */
export const formatChange = (change: ObjectChange) => ({
  kind: change.kind,
  name: change.name,
  version: change.version,
  object: change.object === undefined ? null : formatObject(change.object),
});

/** @returns a VM in the API's JSON format */
export const formatVm = (vm: PlatformVm) => ({
  id: vm.id,
  data_centre: vm.dataCentre,
  role: vm.role,
  address: vm.address,
  leaving: vm.isLeaving,
});
