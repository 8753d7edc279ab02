/** Maximum number of members of a group, learners included. @public */
export const MAX_MEMBERS = 9;
