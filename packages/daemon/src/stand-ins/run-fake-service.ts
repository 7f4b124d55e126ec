import { createFakeService, type FakeServiceOptions } from '@vanillarelay/stand-ins';
import { createSystemClock } from '../platform/create-system-clock.js';
import { serveEndpoint } from './serve-endpoint.js';

type ServiceProcessOptions = Partial<Omit<FakeServiceOptions, 'clock' | 'random' | 'instance'>>;

/** Runs a fake plain service as a process until SIGTERM or SIGINT. */
export async function runFakeService(
  address: string,
  options: ServiceProcessOptions = {},
): Promise<void> {
  const clock = createSystemClock();
  const service = createFakeService({
    ...options,
    clock,
    random: Math.random,
    instance: `${address}@${clock.now()}`,
  });
  await serveEndpoint(address, service, { executions: service.listExecutions });
}
