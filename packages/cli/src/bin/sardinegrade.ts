#!/usr/bin/env node
/** The operator's command line. */
import { createEnvironment } from '../createEnvironment.js';
import { runProgram } from '../runProgram.js';

process.exitCode = await runProgram(process.argv.slice(2), createEnvironment());
