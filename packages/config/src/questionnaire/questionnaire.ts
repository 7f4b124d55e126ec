import { z } from 'zod';
import { addDuplicateIssues } from '../add-duplicate-issues.js';
import { name } from '../name.js';

const maxWaitSeconds = 86_400;

const uniqueNameRule = 'a name that is used once';

const freeText = z.string().min(1);

const request = z
  .strictObject({
    name,
    does: freeText,
    methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
    path: z.string().startsWith('/', { error: 'a path that begins with /' }),
    harmfulIfDoneTwice: z.boolean(),
    maySlowDownButMustArrive: z.boolean(),
    /** How long a caller waits before giving up. */
    callerWaitsSeconds: z.number().positive().max(maxWaitSeconds),
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
  does: freeText,
  backEnd: z.enum(['model', 'application']),
  replicas: z.record(name, z.int().min(1)),
  /** Concurrent requests that a replica can handle right after its start. */
  requestsWhileStarting: z.int().min(1).max(1_000),
  /** Time until the first byte of an answer in normal operation, in milliseconds. */
  firstWordMs: z.int().min(1).max(600_000),
  /**
   * Whether conversations continue after pauses; requests of one should then go to the same replica.
   */
  conversationsReturn: z.boolean(),
  requests: z.array(request).min(1),
});

const account = z.strictObject({
  name,
  trade: name,
  size: z.enum(['few people', 'office', 'large firm']),
  /** Requests in the busiest minute, if known; otherwise the limit follows from `size`. */
  busiestMinute: z.int().min(1).optional(),
  uses: z.array(name).min(1),
  /** SHA-256 of each valid key, as 64 hexadecimal digits. */
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, { error: 'SHA-256 as 64 hexadecimal digits' }))
    .min(1),
});

const Questionnaire = z
  .strictObject({
    team: freeText,
    platform: freeText,
    mattersMost: z.array(freeText),
    trades: z.array(name).min(1),
    dataCentres: z.array(z.strictObject({ name, region: name })).min(1),
    services: z.array(service).min(1),
    accounts: z.array(account),
  })
  .superRefine((answers, context) => {
    (['dataCentres', 'services', 'accounts'] as const).forEach((list) =>
      addDuplicateIssues<{ name: string }>(
        context,
        uniqueNameRule,
        answers[list],
        (item, index) => ({
          value: item.name,
          path: [list, index, 'name'],
        }),
      ),
    );
    const addUnknownNameIssue = (value: string, known: string[], path: (string | number)[]) => {
      if (known.includes(value)) return;
      context.addIssue({ code: 'custom', path, message: `one of ${known.join(', ')}` });
    };
    const dataCentres = answers.dataCentres.map((item) => item.name);
    const services = answers.services.map((item) => item.name);
    answers.services.forEach(({ replicas, requests }, index) => {
      Object.keys(replicas).forEach((dataCentre) =>
        addUnknownNameIssue(dataCentre, dataCentres, ['services', index, 'replicas', dataCentre]),
      );
      addDuplicateIssues(context, uniqueNameRule, requests, (item, position) => ({
        value: item.name,
        path: ['services', index, 'requests', position, 'name'],
      }));
    });
    answers.accounts.forEach(({ trade, uses }, index) => {
      addUnknownNameIssue(trade, answers.trades, ['accounts', index, 'trade']);
      uses.forEach((used, position) =>
        addUnknownNameIssue(used, services, ['accounts', index, 'uses', position]),
      );
    });
  });

type Questionnaire = z.infer<typeof Questionnaire>;

/** A team's answers about its services and accounts: the schema and its inferred type. */
export { Questionnaire };
