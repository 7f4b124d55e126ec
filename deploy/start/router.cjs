// Starts the bundled program. A code cache that does not fit only costs the time to compile.
const { dirname, join } = require('node:path');
const { loadScript } = require('./load-script.cjs');

// Changed settings are announced by this signal, which must not end a process that still starts.
process.on('SIGHUP', () => {});

const path = join(__dirname, 'router-bundle.cjs');
const { script } = loadScript(path, join(__dirname, 'router-bundle.cache'));
script.runInThisContext()(module.exports, require, module, path, dirname(path));
