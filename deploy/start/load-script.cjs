// Compiles the bundled program with the code cache that the build made, if that fits.
const { readFileSync } = require('node:fs');
const { Script } = require('node:vm');
const { crc32 } = require('node:zlib');

const checksumBytes = 8;

/** Computes the checksum of what the cache depends on besides V8's flags, which V8 checks itself. */
function computeSourceChecksum(source) {
  const { version, arch, platform } = process;
  return crc32(source, crc32(`${version} ${process.versions.v8} ${arch} ${platform}`));
}

/** Reads the cache; returns nothing when it is missing, damaged or made for something else. */
function readCache(path, source) {
  try {
    const file = readFileSync(path);
    const data = file.subarray(checksumBytes);
    const isIntact = file.readUInt32LE(4) === crc32(data);
    return isIntact && file.readUInt32LE(0) === computeSourceChecksum(source) ? data : undefined;
  } catch {
    return undefined;
  }
}

/** Encodes a cache with its checksums. */
function encodeCache(source, data) {
  const head = Buffer.alloc(checksumBytes);
  head.writeUInt32LE(computeSourceChecksum(source), 0);
  head.writeUInt32LE(crc32(data), 4);
  return Buffer.concat([head, data]);
}

/** Compiles a bundle, which is one function; a cache that V8 rejects is ignored. */
function loadScript(path, cachePath) {
  const source = readFileSync(path);
  const cachedData = readCache(cachePath, source);
  // The bundle has ASCII characters only, which V8 keeps and reads as single bytes.
  const script = new Script(source.latin1Slice(), {
    filename: path,
    ...(cachedData ? { cachedData } : {}),
  });
  return { script, source, isCached: cachedData !== undefined && !script.cachedDataRejected };
}

module.exports = { loadScript, encodeCache };
