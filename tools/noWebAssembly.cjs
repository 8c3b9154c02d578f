'use strict';

/** Stands in for the WebAssembly of hdr-histogram-js, which is not used: its loader and decoder are costly to load. */
module.exports = { webAssemblyAvailable: false };
