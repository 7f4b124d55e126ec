import verbs from './verbs.mjs';

const verbPattern = new RegExp(`^(${verbs.join('|')})([A-Z0-9].*)?$`);

/** Reports a second export statement in a file; a const and a type may share one statement. */
const oneExport = {
  meta: {
    type: 'suggestion',
    messages: {
      second: 'A file may have only one export statement; move this one to its own file.',
    },
    schema: [],
  },
  create(context) {
    return {
      Program(program) {
        const exports = program.body.filter((node) =>
          ['ExportNamedDeclaration', 'ExportDefaultDeclaration', 'ExportAllDeclaration'].includes(
            node.type,
          ),
        );
        exports.slice(1).forEach((node) => context.report({ node, messageId: 'second' }));
      },
    };
  },
};

/** Reports functions whose names do not begin with a verb listed in docs/verbs.md. */
const functionVerb = {
  meta: {
    type: 'suggestion',
    messages: { verb: "Function name '{{name}}' does not begin with a verb of docs/verbs.md." },
    schema: [],
  },
  create(context) {
    const check = (node, name) => {
      if (!verbPattern.test(name)) context.report({ node, messageId: 'verb', data: { name } });
    };
    return {
      FunctionDeclaration(node) {
        if (node.id) check(node, node.id.name);
      },
      'VariableDeclarator > ArrowFunctionExpression': function (node) {
        if (node.parent.id.type === 'Identifier') check(node, node.parent.id.name);
      },
    };
  },
};

export default { rules: { 'one-export': oneExport, 'function-verb': functionVerb } };
