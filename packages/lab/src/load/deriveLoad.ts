import { createRandom, generateExponential, generateNormal } from './random.js';

import type { Random } from './random.js';
import type { LengthDistribution, LoadClass, LoadProfile, PlannedRequest } from './types.js';

const CHARACTERS_PER_TOKEN = 4;

const getRateFactor = (loadClass: LoadClass, atMs: number): number => {
  for (const { fromMs, untilMs, factor } of loadClass.bursts) {
    if (atMs >= fromMs && atMs < untilMs) return factor;
  }
  return 1;
};

/**
 * Derives the arrival times of a Poisson process with a variable rate by thinning: candidates are drawn at the
 * maximum rate, and each is kept with the probability of the current rate divided by the maximum rate.
 */
const deriveArrivals = (loadClass: LoadClass, durationMs: number, random: Random): number[] => {
  const maxFactor = Math.max(1, ...loadClass.bursts.map((burst) => burst.factor));
  const maxRatePerMs = (loadClass.ratePerSecond * maxFactor) / 1_000;
  if (maxRatePerMs === 0) return [];
  const times: number[] = [];
  for (let atMs = generateExponential(random, maxRatePerMs); atMs < durationMs;) {
    if (random() < getRateFactor(loadClass, atMs) / maxFactor) times.push(atMs);
    atMs += generateExponential(random, maxRatePerMs);
  }
  return times;
};

const takeLength = (length: LengthDistribution, random: Random): number => {
  const tokens = Math.round(length.median * Math.exp(length.spread * generateNormal(random)));
  return Math.min(length.maximum, Math.max(1, tokens));
};

const pickKey = (loadClass: LoadClass, random: Random): string => {
  const weights = loadClass.keys.map((_, rank) => 1 / (rank + 1) ** loadClass.workspaceSkew);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random() * total;
  for (const [rank, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) return loadClass.keys[rank] ?? '';
  }
  return loadClass.keys.at(-1) ?? '';
};

const buildPrompt = (
  loadClass: LoadClass,
  key: string,
  promptTokens: number,
  uniqueText: string,
): string => {
  const characters = promptTokens * CHARACTERS_PER_TOKEN;
  const sharedCharacters = Math.floor(characters * loadClass.sharedFraction);
  const history = `${loadClass.name} history of ${key}. `;
  const shared = history.repeat(Math.ceil(sharedCharacters / history.length));
  const unit = `${uniqueText} `;
  const ownCharacters = Math.max(0, characters - sharedCharacters);
  const filler = unit.repeat(Math.max(1, Math.ceil(ownCharacters / unit.length)));
  // The unique text is never shortened, because it makes the answer differ from those of other requests.
  return shared.slice(0, sharedCharacters) + filler.slice(0, Math.max(unit.length, ownCharacters));
};

const deriveClass = (
  loadClass: LoadClass,
  profile: LoadProfile,
  index: number,
): Omit<PlannedRequest, 'number'>[] => {
  const random = createRandom(profile.seed * 1_000 + index);
  return deriveArrivals(loadClass, profile.durationMs, random).map((atMs, serial) => {
    const key = pickKey(loadClass, random);
    const answerTokens = takeLength(loadClass.answerTokens, random);
    const promptTokens = takeLength(loadClass.promptTokens, random);
    const uniqueText = `tokens=${answerTokens} request ${loadClass.name}-${profile.seed}-${serial}`;
    const prompt = buildPrompt(loadClass, key, promptTokens, uniqueText);
    return { atMs, loadClass, key, prompt, answerTokens };
  });
};

/**
 * Derives the requests of a load and their send times, which don't depend on the responses.
 *
 * @param profile - seed, duration and classes
 * @returns the requests, sorted by send time; the same for the same profile
 */
export const deriveLoad = (profile: LoadProfile): readonly PlannedRequest[] =>
  profile.classes
    .flatMap((loadClass, index) => deriveClass(loadClass, profile, index))
    .sort((a, b) => a.atMs - b.atMs)
    .map((request, number) => ({ ...request, number }));
