import { VmLinks } from './VmLinks.js';

import type { VmLinkMessage } from './VmLinks.js';

/** Imported by the process of a VM before its program: takes the faults of the connections to workers from the soak. */
const links = new VmLinks();
links.attach();
process.on('message', (message: VmLinkMessage) => links.apply(message));
// The program has to end by itself, whether or not the soak is still connected.
process.channel?.unref();
