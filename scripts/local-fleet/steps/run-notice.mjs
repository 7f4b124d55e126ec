const countNotices = async ({ endpointAddress }) => {
  const answer = await fetch(`http://${endpointAddress}/switch/executions`, { method: 'POST' });
  return Object.entries(await answer.json())
    .filter(([identity]) => identity.includes('notice'))
    .reduce((sum, [, count]) => sum + count, 0);
};

/** Sends a notice twice with one idempotency key, through two entries at the same time. */
export default async function runNotice({ caller, example }) {
  const notice = { authority: 'lahore-roads', trench: 'LHR-2031', text: 'Reinstatement on Monday' };
  const send = (entry) =>
    caller.sendJson('/services/permits/notices', notice, {
      entry,
      headers: { 'idempotency-key': 'notice-LHR-2031' },
    });
  const answers = await Promise.all([send(0), send(1)]);
  const agents = example.agents.filter(({ service }) => service === 'permits');
  const counts = await Promise.all(agents.map(countNotices));
  const executions = counts.reduce((sum, count) => sum + count, 0);
  const [first, second] = answers.map(({ text }) => text);
  return [
    {
      passed: executions === 1 && first === second,
      detail: `${executions} execution(s), answers ${first === second ? 'equal' : 'different'}`,
    },
  ];
}
