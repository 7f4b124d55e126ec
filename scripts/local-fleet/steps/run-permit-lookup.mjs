/** Looks up a permit at the plain service. */
export default async function runPermitLookup({ caller }) {
  const answer = await caller.send('/services/permits/permits/LHR-2031');
  const text = await answer.text();
  return [
    {
      passed: answer.status === 200 && text.includes('GET /permits/LHR-2031'),
      detail: `status ${answer.status} from ${answer.headers.get('x-endpoint')}`,
    },
  ];
}
