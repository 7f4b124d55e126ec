const photos = 200;

/** Sends a photo walkthrough, which may be slow but must arrive. */
export default async function runWalkthrough({ caller }) {
  const messages = Array.from({ length: photos }, (_, photo) => ({
    role: 'user',
    content: `photo ${photo}: ${'pixels '.repeat(40)}`,
  }));
  const { json, answer } = await caller.sendJson('/services/reports/v1/walkthroughs', { messages });
  return [
    {
      passed: json.choices[0].finish_reason === 'stop',
      detail: `${json.usage.prompt_tokens} tokens at ${answer.headers.get('x-endpoint')}`,
    },
  ];
}
