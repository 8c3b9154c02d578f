/** The packages by layer, lowest first; a package imports only from layers below its own. */
const LAYERS = [
  ['common'],
  ['platform', 'upstream', 'peer'],
  ['dispatch', 'orders', 'fleet'],
  ['routing'],
  ['entry', 'controller', 'cli', 'forwarder'],
  ['lab'],
];

/** The package at the root that speaks to the users' platform. */
const BOUNDARY_PACKAGE = '@sardinegrade/users-platform';

const findLayer = (name) => LAYERS.findIndex((layer) => layer.includes(name));

/** Requires that imports between packages run downwards through the layers. */
export const importDownwards = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      upwards: "Package '{{from}}' must not import from '{{to}}': imports run downwards.",
      boundary: "Package '{{from}}' must not import from platform/: it only translates for it.",
    },
  },
  create: (context) => {
    const from = /packages\/([a-z]+)\//.exec(context.filename.replaceAll('\\', '/'))?.[1];
    if (from === undefined) return {};
    return {
      ImportDeclaration: (node) => {
        if (node.source.value.startsWith(BOUNDARY_PACKAGE)) {
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
