import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { startFaultProxy } from '../../proxy/index.js';
import { OPTION_SCHEMAS, readOptions } from '../options.js';
import { serveUntilSignal } from '../process.js';

import type { LabCommand } from '../types.js';

const PROXY_OPTIONS = {
  target: {
    schema: OPTION_SCHEMAS.text,
    description: 'host:port that connections are forwarded to',
  },
  listen: { schema: OPTION_SCHEMAS.text, description: 'host:port to listen at (127.0.0.1:0)' },
  control: { schema: OPTION_SCHEMAS.text, description: 'host:port of the control port' },
} as const;

/** The subcommand that runs a fault proxy. */
export const PROXY_COMMAND: LabCommand = {
  name: 'proxy',
  description: 'Forward TCP connections and inject faults into them',
  options: PROXY_OPTIONS,
  run: async (flags) => {
    const { target, ...rest } = readOptions('proxy', PROXY_OPTIONS, flags);
    if (target === undefined) {
      throw new SardinegradeError(ResultCode.SettingInvalid, '--target: host:port is required');
    }
    const proxy = await startFaultProxy({ control: '127.0.0.1:0', ...rest, target });
    serveUntilSignal(proxy, { control: proxy.controlAddress });
  },
};
