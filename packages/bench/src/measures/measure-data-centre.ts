import { toId, type ChangeId, type DataCentreId } from '@vanillarelay/core';
import { startAgent, startEntry, type FleetContext } from '@vanillarelay/scenarios';
import { startTraffic } from '../load/start-traffic.js';
import { chatTraffic } from './chat-traffic.js';
import { createBenchFleet } from './create-bench-fleet.js';
import { createChatSender } from './create-chat-sender.js';
import type { DataCentreOptions } from './data-centre-options.js';
import type { DataCentreResult } from './data-centre-result.js';

type Sender = ReturnType<typeof createChatSender>;
type Phase = DataCentreResult['phases'][number];

const chatsPerEngine = 24;

/** Measures refusals and latency of chat traffic while one data centre leaves and returns. */
export async function measureDataCentre(options: DataCentreOptions): Promise<DataCentreResult> {
  const { departure, dataCentres, phaseMs, warmUpMs } = options;
  const fleet = await createBenchFleet({ ...options, startsCold: true });
  const { context, engines } = fleet;
  const { virtual, random } = context;
  const stop = new AbortController();
  const sender = createChatSender(context);
  const chats = chatsPerEngine * options.engines;
  const { clock } = virtual;
  void startTraffic({ ...chatTraffic, clock, random, chats, send: sender.send }, stop.signal);
  await virtual.run(warmUpMs);
  // The only control node is in the first data centre, so that it keeps running; the scenarios
  // cover the failure of control nodes.
  const target = dataCentres[dataCentres.length - 1]!;
  const starts = observeStarts(fleet, target, dataCentres);
  sender.start();
  await virtual.run(phaseMs);
  const phases = [buildPhase('before', sender)];
  sender.start();
  if (departure === 'planned') await proposeChange(context, 'takeOutDataCentre', target);
  else killDataCentre(context, target, dataCentres);
  const leftAt = clock.monotonic();
  await virtual.run(phaseMs);
  phases.push(buildPhase('away', sender));
  const lastNewWorkMs = Math.max(0, starts.readLast() - leftAt);
  sender.start();
  if (departure === 'planned') await proposeChange(context, 'bringBackDataCentre', target);
  else restartDataCentre(fleet, options, target);
  await virtual.run(phaseMs);
  phases.push(buildPhase('back', sender));
  stop.abort();
  const coldFailures = [...engines.values()].reduce(
    (sum, engine) => sum + engine.readStats().coldFailures,
    0,
  );
  return { departure, phases, lastNewWorkMs, coldFailures };
}

/** Whether a process is in the data centre, by the number at the end of its id. */
function isInDataCentre(
  id: string,
  target: DataCentreId,
  dataCentres: readonly DataCentreId[],
): boolean {
  const index = Number(/\d+$/.exec(id)?.[0] ?? 0);
  return dataCentres[index % dataCentres.length] === target;
}

/** Observes when the engines of a data centre last started a request, by a check every 20 ms. */
function observeStarts(
  { context, engines }: Awaited<ReturnType<typeof createBenchFleet>>,
  target: DataCentreId,
  dataCentres: readonly DataCentreId[],
) {
  const { clock } = context.virtual;
  const watched = [...engines.keys()].filter((id) => isInDataCentre(id, target, dataCentres));
  let started = -1;
  let last = 0;
  const check = () => {
    const now = watched.reduce((sum, id) => sum + (engines.get(id)?.readStats().started ?? 0), 0);
    if (now !== started) last = clock.monotonic();
    started = now;
    clock.startTimer(20, check);
  };
  check();
  return { readLast: () => last };
}

async function proposeChange(
  context: FleetContext,
  type: 'takeOutDataCentre' | 'bringBackDataCentre',
  dataCentre: DataCentreId,
): Promise<void> {
  const operator = context.virtual.createProcess('operator');
  const control = context.network.open(operator, () => context.controls.get('control-0'));
  const command = { type, changeId: toId<ChangeId>(type), operator: 'bench', dataCentre };
  await context.virtual.runUntil(control.propose(command, new AbortController().signal));
}

function killDataCentre(
  { agents, entries, endpoints }: FleetContext,
  target: DataCentreId,
  dataCentres: readonly DataCentreId[],
): void {
  [agents, entries, endpoints].forEach((processes) =>
    processes.forEach(({ process }, id) => {
      if (isInDataCentre(id, target, dataCentres)) process.kill();
    }),
  );
}

function restartDataCentre(
  { context, buildAgentOptions }: Awaited<ReturnType<typeof createBenchFleet>>,
  { policy, multiple, dataCentres }: DataCentreOptions,
  target: DataCentreId,
): void {
  const place = policy.createStrategy({ engines: new Map(), multiple });
  [...context.agents.keys()]
    .filter((id) => isInDataCentre(id, target, dataCentres))
    .forEach((id) => startAgent(context, buildAgentOptions(id, target)));
  [...context.entries.keys()]
    .filter((id) => isInDataCentre(id, target, dataCentres))
    .forEach((id) => startEntry(context, id, target, place));
}

function buildPhase(phase: Phase['phase'], sender: Sender): Phase {
  const { requests, refused, broken, firstByte } = sender.readTotals();
  return {
    phase,
    ...{ requests, refused, broken },
    firstByteP50: firstByte.getValueAtPercentile(50),
    firstByteP95: firstByte.getValueAtPercentile(95),
    firstByteP99: firstByte.getValueAtPercentile(99),
  };
}
