/** @returns the seal that a worker sets in its answers */
export const formatSeal = (worker: string): string => `seal of ${worker}`;
