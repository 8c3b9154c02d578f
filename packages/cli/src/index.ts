/** Placeholder */
