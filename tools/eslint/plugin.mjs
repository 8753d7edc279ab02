import {readFileSync} from 'node:fs';
import path from 'node:path';
import {DEVELOPMENT_ONLY, LAYERS} from './layers.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');
const SCOPE = '@sycamorehead/';

/** Reads the allowed function verbs from the ```verbs block in docs/STYLE.md. */
function readVerbs() {
  const text = readFileSync(path.join(ROOT, 'docs/STYLE.md'), 'utf8');
  const block = /```verbs\n([^`]*)```/.exec(text);
  if (!block) throw new Error('docs/STYLE.md has no ```verbs block');
  return new Set(block[1].split(/\s+/).filter(Boolean));
}

const VERBS = readVerbs();

function isAllowedName(name) {
  const first = /^[a-z]+/.exec(name);
  return first !== null && VERBS.has(first[0]);
}

const functionVerb = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    function check(node, name) {
      if (isAllowedName(name)) return;
      context.report({
        node,
        message: `Function name '${name}' must begin with a verb listed in docs/STYLE.md.`,
      });
    }
    return {
      FunctionDeclaration(node) {
        if (node.id) check(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind !== 'method' || node.key.type !== 'Identifier') return;
        check(node.key, node.key.name);
      },
      'VariableDeclarator > ArrowFunctionExpression'(node) {
        if (node.parent.id.type === 'Identifier') {
          check(node.parent.id, node.parent.id.name);
        }
      },
    };
  },
};

function findOwner(filename) {
  const [kind, name] = path.relative(ROOT, filename).split(path.sep);
  return {kind, name};
}

function describeViolation(owner, target) {
  if (target === 'platform') return 'The platform folder must not be imported.';
  if (owner.kind === 'apps') {
    const isTool = owner.name === 'syc-bench';
    if (DEVELOPMENT_ONLY.includes(target) && !isTool) {
      return `Program '${owner.name}' must not import development package '${target}'.`;
    }
    return undefined;
  }
  if (owner.kind !== 'packages') return undefined;
  const own = LAYERS.indexOf(owner.name);
  const other = LAYERS.indexOf(target);
  if (other >= 0 && other < own) return undefined;
  return `Package '${owner.name}' must not import '${target}': a package may import only packages listed before it in tools/eslint/layers.mjs.`;
}

const importDirection = {
  meta: {type: 'problem', schema: []},
  create(context) {
    const owner = findOwner(context.filename);
    return {
      ImportDeclaration(node) {
        const source = node.source.value;
        if (!source.startsWith(SCOPE)) return;
        const message = describeViolation(
          owner,
          source.slice(SCOPE.length).split('/')[0],
        );
        if (message) context.report({node, message});
      },
    };
  },
};

export const sycamoreheadPlugin = {
  rules: {'function-verb': functionVerb, 'import-direction': importDirection},
};
