// Stands for modules of packages that the program loads but never uses.
module.exports = {};
