/** The benchmark `relay`: the cost of the hop through an entry daemon. */
export * from './relay.js';
