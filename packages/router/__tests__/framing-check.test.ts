import { describe, expect, it } from 'vitest';
import { createFramingCheck } from '../src/framing/create-framing-check.js';

interface Verdict {
  fault: string | undefined;
  hasHead: boolean;
  isDone: boolean;
}

/** Gives an answer to the check in pieces, up to the first fault. */
const check = (text: string, pieceBytes = text.length, method = 'POST'): Verdict => {
  const framing = createFramingCheck(method);
  const bytes = Buffer.from(text, 'latin1');
  let fault: string | undefined;
  for (let at = 0; at < bytes.length && fault === undefined; at += pieceBytes)
    fault = framing.push(bytes.subarray(at, at + pieceBytes));
  return { fault, hasHead: framing.hasHead(), isDone: framing.isDone() };
};

const head = 'HTTP/1.1 200 OK\r\n';
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const isProper = { fault: undefined, hasHead: true, isDone: true };

const properAnswers = [
  ...[`${head}\r\n`, 'HTTP/1.1 200\r\n\r\n', 'HTTP/1.0 200 \r\n\r\n', `\r\n\r\n${head}\r\n`],
  ...[
    'HTTP/1.1 404 \u00e9t\u00e9 \t!\r\n\r\n',
    'HTTP/1.1 000 OK\r\n\r\n',
    'HTTP/1.1 101 OK\r\n\r\n',
  ],
  ...[`${head}A:\r\nb: \t x y \t\r\n\r\n`, `${head}!#$%&'*+-.^_\`|~0: \u0080\u00ff\r\n\r\n`],
  ...[`${head}Content-Length: 2 \r\n\r\nok`, `${head}Content-Length: 0\r\n\r\n`],
  `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n${head}\r\n`,
  ...[
    `${chunked}0\r\n\r\n`,
    `${chunked}2\r\nok\r\n0\r\n\r\n`,
    `${chunked}002;a=1\r\nok\r\n00\r\n\r\n`,
  ],
  ...[`${chunked}1 ;a="b c"\r\nx\r\n0\r\n\r\n`, `${chunked}0\r\nA: 1\r\nB:\r\n\r\n`],
  `${head}Transfer-Encoding:\tCHUNKED\r\n\r\n1a\r\n${'\r\n'.repeat(13)}\r\n0\r\n\r\n`,
  ...['HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n', 'HTTP/1.1 304 No\r\n\r\n'],
];

// Guards against refusing an answer of an endpoint that keeps to the protocol.
it.each(properAnswers)('finds no fault in %j, whole or in pieces', (text) => {
  expect([0, 1, 2, 3, 7].map((pieceBytes) => check(text, pieceBytes || undefined))).toEqual(
    Array.from({ length: 5 }, () => isProper),
  );
});

const oddAnswers = [
  ...[`${head}X Odd: 1\r\n\r\n`, `${head}X-Odd : 1\r\n\r\n`, `${head} X-Odd: 1\r\n\r\n`],
  ...[`${head}A: 1\r\n\tfolded\r\n\r\n`, `${head}X\u0001: 1\r\n\r\n`, `${head}X\u007f: 1\r\n\r\n`],
  ...[
    `${head}X\u00e9: 1\r\n\r\n`,
    `${head}: 1\r\n\r\n`,
    `${head}X-Odd\r\n\r\n`,
    `${head} \r\n\r\n`,
  ],
  ...[`${head}A: a\0b\r\n\r\n`, `${head}A: a\u007fb\r\n\r\n`, `${head}A: a\rb\r\n\r\n`],
  ...[`${head}A: 1\nB: 2\r\n\r\n`, `${head}A: 1\r\n\n`, `${head}A: 1\r\n\rB: 2\r\n\r\n`],
  ...[`\n${head}\r\n`, ` ${head}\r\n`, 'HTTP/1.1 20 OK\r\n\r\n', 'HTTP/1.1 2000 OK\r\n\r\n'],
  ...['HTTP/1.1  200 OK\r\n\r\n', 'HTTP/1.1 200 O\u0001K\r\n\r\n', 'HTTP/1.1 abc\r\n\r\n'],
  ...['http/1.1 200 OK\r\n\r\n', 'HTTP/1.1 200 OK\n\n', 'ok\r\n\r\n', 'id: 1\r\n'],
  `HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n${head}\r\n`,
  ...[`${head}Content-Length: +2\r\n\r\nok`, `${head}Content-Length:\r\n\r\nok`],
  ...[
    `${head}Content-Length: 2, 2\r\n\r\nok`,
    `${head}Content-Length: 0x2\r\n\r\nok`,
    `${head}Content-Length: 2\u00a0\r\n\r\nok`,
  ],
  `${head}Content-Length: 2\r\ncontent-length: 2\r\n\r\nok`,
  `${head}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
  ...[
    'gzip',
    '',
    'gzip, chunked',
    'chunked, chunked',
    'chunked\r\nTransfer-Encoding:',
    'chunked\u00a0',
    'chunked\t',
  ].map((coding) => `${head}Transfer-Encoding: ${coding}\r\n\r\n`),
  ...[
    `${chunked}x\r\n`,
    `${chunked}\r\n`,
    `${chunked}-2\r\n`,
    `${chunked}2 \r\n`,
    `${chunked}0x2\r\n`,
  ],
  ...[`${chunked}2\nok`, `${chunked}2;\u0001\r\n`, `${chunked}2\r\nokk\r\n`, `${chunked}2\r\nok\n`],
  ...[`${chunked}${'f'.repeat(13)}\r\n`, `${chunked}0\r\nX Odd: 1\r\n\r\n`],
  ...[`${chunked}0\r\nX-Odd : 1\r\n\r\n`, `${chunked}0\r\n folded\r\n\r\n`, `${chunked}0\r\n\n`],
];

// Guards against an odd line that a lenient parser takes for a field, an end of the head or a body.
it('finds the same fault in an odd answer, whole or in pieces', () => {
  const found = oddAnswers.map((text) => {
    const [fault, ...others] = [text.length, 1, 2, 3, 7].map((bytes) => check(text, bytes).fault);
    expect(others, text).toEqual(others.map(() => fault));
    return `${JSON.stringify(text)}: ${fault}`;
  });
  expect(found).toMatchSnapshot();
});

describe('an answer without an end', () => {
  const limitBytes = 64 * 1024;
  // Guards against a part of an answer that counts as checked.
  it.each([
    ['no head', ''],
    ['a part of a head', `${head}A: 1\r\n`],
    ['an informational head alone', 'HTTP/1.1 100 Continue\r\n\r\n'],
    ['a part of a chunk', `${chunked}5\r\nok`],
    ['chunks without the last one', `${chunked}2\r\nok\r\n`],
    ['no end of the trailers', `${chunked}0\r\nA: 1\r\n`],
  ])('is not done: %s', (_, text) => {
    const isDone = text === '' ? createFramingCheck('POST').isDone() : check(text).isDone;
    expect(isDone).toBe(false);
  });

  // Guards against lines that fill the memory, whichever way they come.
  it.each([
    ['blank lines', '\r\n'.repeat(limitBytes)],
    ['informational heads', `HTTP/1.1 100 Continue\r\n\r\n`.repeat(limitBytes / 8)],
    ['fields', `${head}${'A: 1\r\n'.repeat(limitBytes)}`],
    ['one line', `${head}${'A'.repeat(limitBytes * 2)}`],
    ['trailers', `${chunked}0\r\n${'A: 1\r\n'.repeat(limitBytes)}`],
    ['the size of a chunk', `${chunked}${'0'.repeat(limitBytes * 2)}`],
  ])('is refused at the limit: %s', (_, text) => {
    expect(check(text, 1_000).fault).toBe('a head, trailer or chunk size without an end');
  });
});

// Guards against bytes of a body that are read as a head, and against chunks that an answer to HEAD
// announces and does not have.
it('does not look at bodies', () => {
  const bodies = ['\0 : \n', 'HTTP/1.1 200 OK\n\n', '5\r\nx'];
  const heads = [`${head}\r\n`, `${head}Content-Length: 9\r\n\r\n`];
  const found = heads.flatMap((text) => bodies.map((body) => check(text + body)));
  expect([...found, check(chunked, undefined, 'HEAD')]).toEqual(
    Array.from({ length: 7 }, () => isProper),
  );
});
