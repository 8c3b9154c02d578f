import { readFileSync } from 'node:fs';

const NAMES_URL = new URL('../../docs/NAMES.md', import.meta.url);

/** Reads the verbs listed in docs/NAMES.md between the markers `<!-- verbs -->` and `<!-- /verbs -->`. */
const readVerbs = () => {
  const page = readFileSync(NAMES_URL, 'utf8');
  const section = page.split('<!-- verbs -->')[1].split('<!-- /verbs -->')[0];
  return new Set([...section.matchAll(/`([a-z]+)`/g)].map((match) => match[1]));
};

const VERBS = readVerbs();

const hasLeadingVerb = (name) => VERBS.has(/^[a-z]+/.exec(name)?.[0] ?? '');

const FUNCTION_VALUES = new Set(['ArrowFunctionExpression', 'FunctionExpression']);

/** ESLint rule: the name of a function must begin with a verb listed in docs/NAMES.md. */
export const functionVerb = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' must begin with a verb listed in docs/NAMES.md." },
  },
  create: (context) => {
    const check = (node, name) => {
      if (hasLeadingVerb(name)) return;
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
