/** Sends a request and reads its events from all processes. */
export default async function runExplain({ caller, fleet }) {
  const answer = await caller.send('/services/permits/permits/explained');
  await answer.text();
  const requestId = answer.headers.get('x-request-id');
  const { events, missing } = await fleet.operator.readTimeline(requestId);
  const processes = new Set(events.map((event) => event.process));
  return [
    {
      passed: processes.size >= 2 && missing.length === 0,
      detail: `${events.map(({ name }) => name).join(', ')}; no answer from ${missing.length} processes`,
    },
  ];
}
