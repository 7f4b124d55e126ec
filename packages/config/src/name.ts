import { z } from 'zod';

/** Schema of a user-defined id, of a process, VM, data centre, service or account. */
export const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, {
  error: '1 to 63 lower-case letters, digits, dots and hyphens',
});
