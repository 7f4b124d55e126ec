const parseErrorPrefix = 'HPE_';
/** The connection ended before the answer did. */
const endCode = 'HPE_INVALID_EOF_STATE';

/** Whether an error of Node means that an endpoint sent bytes that are no HTTP answer. */
export function isParseError({ code }: NodeJS.ErrnoException): boolean {
  return code !== undefined && code.startsWith(parseErrorPrefix) && code !== endCode;
}
