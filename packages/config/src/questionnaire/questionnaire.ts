import { z } from 'zod';
import { addRepeats } from '../add-repeats.js';
import { name } from '../name.js';

const longestWaitSeconds = 86_400;

const repeated = 'a name that is used once';

const description = z.string().min(1);

const request = z
  .strictObject({
    name,
    does: description,
    methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
    path: z.string().startsWith('/', { error: 'a path that begins with /' }),
    harmfulIfDoneTwice: z.boolean(),
    maySlowDownButMustArrive: z.boolean(),
    /** How long a caller waits before giving up. */
    callerWaitsSeconds: z.number().positive().max(longestWaitSeconds),
  })
  .superRefine(({ methods, harmfulIfDoneTwice }, context) => {
    const index = methods.findIndex((method) => method === 'GET' || method === 'HEAD');
    if (!harmfulIfDoneTwice || index < 0) return;
    context.addIssue({
      code: 'custom',
      path: ['methods', index],
      message: 'POST, PUT, PATCH or DELETE for a request that is harmful if done twice',
    });
  });

const service = z.strictObject({
  name,
  does: description,
  backEnd: z.enum(['model', 'application']),
  replicas: z.record(name, z.int().min(1)),
  /** Requests that a replica bears at once right after its start. */
  requestsWhileStarting: z.int().min(1).max(1_000),
  /** How soon an answer begins when all is well. */
  firstWordMs: z.int().min(1).max(600_000),
  /** Whether conversations return after pauses, so that the replica should stay the same. */
  conversationsReturn: z.boolean(),
  requests: z.array(request).min(1),
});

const account = z.strictObject({
  name,
  trade: name,
  size: z.enum(['few people', 'office', 'large firm']),
  /** Requests of the busiest minute, when known; otherwise the size decides. */
  busiestMinute: z.int().min(1).optional(),
  uses: z.array(name).min(1),
  /** SHA-256 of each valid key, as 64 hexadecimal digits. */
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, { error: 'SHA-256 as 64 hexadecimal digits' }))
    .min(1),
});

const Questionnaire = z
  .strictObject({
    team: description,
    platform: description,
    mattersMost: z.array(description),
    trades: z.array(name).min(1),
    dataCentres: z.array(z.strictObject({ name, region: name })).min(1),
    services: z.array(service).min(1),
    accounts: z.array(account),
  })
  .superRefine((answers, context) => {
    (['dataCentres', 'services', 'accounts'] as const).forEach((list) =>
      addRepeats<{ name: string }>(context, repeated, answers[list], (item, index) => ({
        value: item.name,
        path: [list, index, 'name'],
      })),
    );
    const addUnknown = (value: string, known: string[], path: (string | number)[]) => {
      if (known.includes(value)) return;
      context.addIssue({ code: 'custom', path, message: `one of ${known.join(', ')}` });
    };
    const dataCentres = answers.dataCentres.map((item) => item.name);
    const services = answers.services.map((item) => item.name);
    answers.services.forEach(({ replicas, requests }, index) => {
      Object.keys(replicas).forEach((dataCentre) =>
        addUnknown(dataCentre, dataCentres, ['services', index, 'replicas', dataCentre]),
      );
      addRepeats(context, repeated, requests, (item, position) => ({
        value: item.name,
        path: ['services', index, 'requests', position, 'name'],
      }));
    });
    answers.accounts.forEach(({ trade, uses }, index) => {
      addUnknown(trade, answers.trades, ['accounts', index, 'trade']);
      uses.forEach((used, position) =>
        addUnknown(used, services, ['accounts', index, 'uses', position]),
      );
    });
  });

type Questionnaire = z.infer<typeof Questionnaire>;

/** A team's answers about its business, schema and type. */
export { Questionnaire };
