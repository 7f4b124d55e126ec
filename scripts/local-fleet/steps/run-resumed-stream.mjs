const tokens = 200;
const eventsBeforeCut = 5;

const listEvents = (text) =>
  text
    .split('\n\n')
    .slice(0, -1)
    .map((event) => ({
      id: /^id: (.*)$/m.exec(event)?.[1],
      content: /"content":"([^"]*)"/.exec(event)?.[1],
      isDone: event.includes('[DONE]'),
    }));

/** Cuts a stream after a few events and resumes it through another entry. */
export default async function runResumedStream({ caller }) {
  const cutting = new AbortController();
  const answer = await caller.send('/v1/chat/completions', {
    method: 'POST',
    entry: 0,
    signal: cutting.signal,
    body: JSON.stringify({
      model: 'reports',
      chat_id: 'resumed',
      stream: true,
      resumable: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: 'Describe the trench.' }],
    }),
  });
  const streamId = answer.headers.get('x-stream-id');
  let text = '';
  for await (const chunk of answer.body) {
    text += Buffer.from(chunk).toString('utf8');
    if (listEvents(text).length >= eventsBeforeCut) break;
  }
  cutting.abort();
  const before = listEvents(text);
  const last = before.findLast(({ id }) => id)?.id;
  const resumed = await caller.send(`/v1/streams/${streamId}`, {
    entry: 1,
    headers: last ? { 'last-event-id': last } : {},
  });
  const after = listEvents(await resumed.text());
  const contents = [...before, ...after].flatMap(({ content }) => (content ? [content] : []));
  const isInOrder = contents.every((content, index) => content.endsWith(`-${index} `));
  return [
    {
      passed: isInOrder && contents.length === tokens && after.at(-1)?.isDone === true,
      detail: `${before.length} events, cut, ${after.length} events through another entry, ${contents.length} of ${tokens} tokens`,
    },
  ];
}
