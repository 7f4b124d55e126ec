import { z } from 'zod';

const maxPort = 65_535;

/** Schema of an address: an IPv4 address, or an IPv6 address in brackets, with a port. */
export const address = z.string().refine(isAddress, {
  error: `IP:port with a port from 1 to ${maxPort}, as 10.0.0.1:7100 or [fd00::1]:7100`,
});

function isAddress(text: string): boolean {
  const match = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/.exec(text);
  if (!match?.groups) return false;
  const { v4, v6, port } = match.groups;
  const isIp = v4 ? z.ipv4().safeParse(v4).success : z.ipv6().safeParse(v6).success;
  return isIp && Number(port) >= 1 && Number(port) <= maxPort;
}
