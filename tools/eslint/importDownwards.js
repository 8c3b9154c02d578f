/** Packages by layer, lowest first. A package may import only from layers below its own. */
const LAYERS = [
  ['common'],
  ['platform', 'upstream', 'peer', 'ingress'],
  ['dispatch', 'orders', 'fleet', 'lease'],
  ['routing'],
  ['duties'],
  ['entry', 'controller', 'cli', 'forwarder'],
  ['lab'],
];

/** The package in platform/, which adapts the other packages to the users' platform. */
const ADAPTER_PACKAGE = '@sardinegrade/users-platform';

const findLayer = (name) => LAYERS.findIndex((layer) => layer.includes(name));

/** ESLint rule: a package may import only from lower layers, and never from platform/. */
export const importDownwards = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      upwards:
        "Package '{{from}}' must not import from '{{to}}': a package may import only from lower layers.",
      boundary:
        "Package '{{from}}' must not import from platform/: that package adapts the others to the users' platform.",
    },
  },
  create: (context) => {
    const from = /packages\/([a-z]+)\//.exec(context.filename.replaceAll('\\', '/'))?.[1];
    if (from === undefined) return {};
    return {
      ImportDeclaration: (node) => {
        if (node.source.value.startsWith(ADAPTER_PACKAGE)) {
          context.report({ node, messageId: 'boundary', data: { from } });
          return;
        }
        const to = /^@sardinegrade\/([a-z]+)/.exec(node.source.value)?.[1];
        if (to === undefined || findLayer(to) < findLayer(from)) return;
        context.report({ node, messageId: 'upwards', data: { from, to } });
      },
    };
  },
};
