/** What is known of a member. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
  Leaving = 'leaving',
}
