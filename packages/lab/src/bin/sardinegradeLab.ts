#!/usr/bin/env node
import { runLab } from './runLab.js';

const exitCode = await runLab(process.argv);
if (exitCode !== undefined) process.exitCode = exitCode;
