/** Links of this VM to workers, and ways through other VMs while they are lost. */
export * from './createTunnelServer.js';
export * from './drainConnections.js';
export * from './enums.js';
export * from './isConnectable.js';
export * from './isReset.js';
export * from './LinkMonitor.js';
export * from './selectSamples.js';
export * from './TunnelClient.js';
export * from './TunnelServer.js';
export * from './tunnelFrames.js';
export * from './TunnelSocket.js';
export * from './tunnelStatus.js';
export * from './types.js';
export * from './WorkerDialer.js';
