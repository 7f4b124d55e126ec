/** Maximum number of sends of a request, even when every endpoint proves that it did not run it. */
export const maxSends = 4;
