// Stands for Node's module in packages that only ask whether they run in the main thread.
module.exports = { isMainThread: true };
