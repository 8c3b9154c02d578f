import { SampleKind } from '@sardinegrade/routing';

import type { LoadProtocol } from '@sardinegrade/peer';
import type { PaceSample } from '@sardinegrade/routing';

/** Steps of a speed for each doubling: one is 9 %, less than what counts as equal. */
const STEPS_PER_DOUBLING = 8;

/** Code of the nominal speed. */
const NOMINAL_CODE = 32;

const STREAM_END_CODE = 0;
const UNKNOWN_SPEED_CODE = 1;
const MIN_SPEED_CODE = 2;
const MAX_SPEED_CODE = 63;

/** Added to the code of a bad answer. */
const BAD_CODE = 64;

/** Unit of gaps, in milliseconds: gaps up to 254 ms then take one byte. */
const MS_PER_GAP_UNIT = 2;

/** Longest gap that a message may tell, in units. */
const MAX_GAP_UNITS = 30_000;

const toSpeedCode = (speed: number | undefined): number => {
  if (speed === undefined || !(speed > 0)) return UNKNOWN_SPEED_CODE;
  const code = Math.round(Math.log2(speed) * STEPS_PER_DOUBLING) + NOMINAL_CODE;
  return Math.min(MAX_SPEED_CODE, Math.max(MIN_SPEED_CODE, code));
};

const CODERS: Readonly<Record<SampleKind, (sample: PaceSample) => number>> = {
  [SampleKind.OnTime]: ({ speed }) => toSpeedCode(speed),
  [SampleKind.Bad]: ({ speed }) => toSpeedCode(speed) + BAD_CODE,
  [SampleKind.StreamEnd]: () => STREAM_END_CODE,
};

const toGapUnits = (gapMs = 0): number =>
  Math.min(MAX_GAP_UNITS, Math.max(0, Math.round(gapMs / MS_PER_GAP_UNIT) || 0));

/** @returns the wire form of samples of workers' paces; undefined without any */
export const toWirePaceSamples = (
  samples: readonly PaceSample[],
): LoadProtocol.PaceSamples | undefined =>
  samples.length === 0
    ? undefined
    : {
        instances: samples.map(({ instance }) => instance),
        speeds: samples.map((sample) => CODERS[sample.kind](sample)),
        gaps: samples.map(({ gapMs }) => toGapUnits(gapMs)),
      };

const toSample = (instance: number, code: number, gapUnits: number): PaceSample => {
  const gapMs = gapUnits === 0 ? undefined : gapUnits * MS_PER_GAP_UNIT;
  if (code === STREAM_END_CODE)
    return { instance, kind: SampleKind.StreamEnd, speed: undefined, gapMs };
  const speedCode = code % BAD_CODE;
  return {
    instance,
    kind: code >= BAD_CODE ? SampleKind.Bad : SampleKind.OnTime,
    speed:
      speedCode < MIN_SPEED_CODE
        ? undefined
        : 2 ** ((speedCode - NOMINAL_CODE) / STEPS_PER_DOUBLING),
    gapMs,
  };
};

/** @returns the samples in a received message; those with a code or a gap out of range are left out */
export const fromWirePaceSamples = (
  wire: LoadProtocol.PaceSamples | undefined,
): readonly PaceSample[] => {
  const samples: PaceSample[] = [];
  for (const [index, instance] of (wire?.instances ?? []).entries()) {
    const code = wire?.speeds[index] ?? 0;
    const gapUnits = wire?.gaps[index] ?? 0;
    if (code >= BAD_CODE * 2 || gapUnits > MAX_GAP_UNITS) continue;
    samples.push(toSample(instance, code, gapUnits));
  }
  return samples;
};
