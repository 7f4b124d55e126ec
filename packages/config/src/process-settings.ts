import { z } from 'zod';

/** Schema fields that every process's settings share. */
export const processSettings = {
  id: z.string().min(1),
  vm: z.string().min(1),
  dataCentre: z.string().min(1),
  /** IP and port to listen on. */
  address: z.string().regex(/^[0-9a-f.:[\]]+:\d{1,5}$/, 'expected IP:port'),
  /** Keys accepted from peers; the first one is presented. */
  peerKeys: z.array(z.string().min(16)).min(1),
  /** PEM files; when set, all servers and clients of the process use TLS. */
  tls: z
    .strictObject({
      certificateFile: z.string().min(1),
      keyFile: z.string().min(1),
      /** Certificates that peers' certificates are checked against. */
      caFile: z.string().min(1),
    })
    .optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
};
