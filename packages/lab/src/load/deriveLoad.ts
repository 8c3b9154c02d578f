import { createRandom, takeExponential, takeNormal } from './random.js';

import type { Random } from './random.js';
import type { LengthDistribution, LoadClass, LoadProfile, PlannedRequest } from './types.js';

const CHARACTERS_PER_TOKEN = 4;

const getRateFactor = (loadClass: LoadClass, atMs: number): number => {
  for (const { fromMs, untilMs, factor } of loadClass.bursts) {
    if (atMs >= fromMs && atMs < untilMs) return factor;
  }
  return 1;
};

/** Arrival times of a Poisson process whose rate changes: candidates at the top rate, thinned out. */
const deriveArrivals = (loadClass: LoadClass, durationMs: number, random: Random): number[] => {
  const topFactor = Math.max(1, ...loadClass.bursts.map((burst) => burst.factor));
  const topRatePerMs = (loadClass.ratePerSecond * topFactor) / 1_000;
  if (topRatePerMs === 0) return [];
  const times: number[] = [];
  for (let atMs = takeExponential(random, topRatePerMs); atMs < durationMs;) {
    if (random() < getRateFactor(loadClass, atMs) / topFactor) times.push(atMs);
    atMs += takeExponential(random, topRatePerMs);
  }
  return times;
};

const takeLength = (length: LengthDistribution, random: Random): number => {
  const tokens = Math.round(length.median * Math.exp(length.spread * takeNormal(random)));
  return Math.min(length.maximum, Math.max(1, tokens));
};

const pickKey = (loadClass: LoadClass, random: Random): string => {
  const weights = loadClass.keys.map((_, rank) => 1 / (rank + 1) ** loadClass.workspaceSkew);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random() * total;
  for (const [rank, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return loadClass.keys[rank] ?? '';
  }
  return loadClass.keys.at(-1) ?? '';
};

const buildPrompt = (
  loadClass: LoadClass,
  key: string,
  promptTokens: number,
  head: string,
): string => {
  const characters = promptTokens * CHARACTERS_PER_TOKEN;
  const sharedCharacters = Math.floor(characters * loadClass.sharedPart);
  const history = `${loadClass.name} history of ${key}. `;
  const shared = history.repeat(Math.ceil(sharedCharacters / history.length));
  const own = `${head} `;
  const ownCharacters = Math.max(0, characters - sharedCharacters);
  const filled = own.repeat(Math.max(1, Math.ceil(ownCharacters / own.length)));
  // The head stands whole, also in the shortest prompt: it makes the answer this request's own.
  return shared.slice(0, sharedCharacters) + filled.slice(0, Math.max(own.length, ownCharacters));
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
    const head = `tokens=${answerTokens} request ${loadClass.name}-${profile.seed}-${serial}`;
    const prompt = buildPrompt(loadClass, key, promptTokens, head);
    return { atMs, loadClass, key, prompt, answerTokens };
  });
};

/**
 * Plans a load: who sends what and when, whatever the answers.
 *
 * @param profile - seed, duration and classes
 * @returns the requests in the order of their times, the same for the same profile
 */
export const deriveLoad = (profile: LoadProfile): readonly PlannedRequest[] =>
  profile.classes
    .flatMap((loadClass, index) => deriveClass(loadClass, profile, index))
    .sort((a, b) => a.atMs - b.atMs)
    .map((request, number) => ({ ...request, number }));
