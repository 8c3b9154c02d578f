import { readFileSync } from 'node:fs';

const NAMES_PAGE = new URL('../../docs/NAMES.md', import.meta.url);

/** Reads the verbs that the names page lists between its two markers. */
const readVerbs = () => {
  const page = readFileSync(NAMES_PAGE, 'utf8');
  const section = page.split('<!-- verbs -->')[1].split('<!-- /verbs -->')[0];
  return new Set([...section.matchAll(/`([a-z]+)`/g)].map((match) => match[1]));
};

const VERBS = readVerbs();

const isVerbName = (name) => VERBS.has(/^[a-z]+/.exec(name)?.[0] ?? '');

const FUNCTION_VALUES = new Set(['ArrowFunctionExpression', 'FunctionExpression']);

/** Requires that a function's name begins with a verb of docs/NAMES.md. */
export const functionVerb = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' must begin with a verb listed in docs/NAMES.md." },
  },
  create: (context) => {
    const check = (node, name) => {
      if (isVerbName(name)) return;
      context.report({ node, messageId: 'verb', data: { name } });
    };
    return {
      FunctionDeclaration: (node) => {
        if (node.id) check(node.id, node.id.name);
      },
      VariableDeclarator: (node) => {
        if (node.id.type !== 'Identifier' || !node.init) return;
        if (FUNCTION_VALUES.has(node.init.type)) check(node.id, node.id.name);
      },
      MethodDefinition: (node) => {
        if (node.kind !== 'method' || node.computed) return;
        if (node.key.type === 'Identifier') check(node.key, node.key.name);
      },
    };
  },
};
