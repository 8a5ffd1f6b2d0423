/** The manifest: the complete configuration that operators declare and submit through their pipeline. */
import * as z from 'zod';

const name = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes, from a letter');

const deadlineMs = z.number().int().min(100).max(3_600_000);

const group = z
  .strictObject({
    name,
    ranks: z.number().int().min(1).max(1024).describe('Ranks that advance in lock-step'),
    layers: z.number().int().min(1).max(512),
    experts: z.number().int().min(1).max(4096).describe('Experts a layer'),
    slotsPerRank: z.number().int().min(1).max(4096).describe('Expert slots a rank, a layer'),
  })
  .readonly();

const modelService = z
  .strictObject({
    name,
    kind: z.literal('model'),
    model: name,
    repeatable: z.boolean().default(true).describe('May a call be run more than once?'),
    deadlineMs: deadlineMs.default(30_000),
    skewWeight: z
      .number()
      .min(0)
      .max(1)
      .default(0.5)
      .describe('Weight of step-time skew against the cost of moving experts: 1 is skew alone'),
    groups: z.array(group).readonly().default([]),
  })
  .readonly();

const plainService = z
  .strictObject({
    name,
    kind: z.literal('plain'),
    path: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/, 'must be a URL path that begins with /'),
    repeatable: z.boolean().default(false).describe('May a call be run more than once?'),
    deadlineMs: deadlineMs.default(10_000),
  })
  .readonly();

const customer = z
  .strictObject({
    name,
    share: z.number().positive().max(1_000_000).default(1).describe('Weight among customers'),
    maxInFlight: z.number().int().min(1).max(1_000_000).default(64),
  })
  .readonly();

const zone = z.strictObject({ name, region: name }).readonly();

/** Reports duplicate names in a list, at the path of the second occurrence. */
function checkUnique(
  items: readonly { readonly name: string }[],
  path: string,
  ctx: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  items.forEach((item, i) => {
    if (seen.has(item.name)) {
      ctx.addIssue({
        code: 'custom',
        path: [path, i, 'name'],
        message: `"${item.name}" stands twice`,
      });
    }
    seen.add(item.name);
  });
}

/** Schema of the whole manifest. The committed JSON Schema is generated from it. */
export const manifestSchema = z
  .strictObject({
    fleet: name,
    version: z.number().int().min(1).describe('Rises with every change; given by the pipeline'),
    availabilityZones: z.array(zone).min(1).readonly(),
    models: z.array(z.strictObject({ name }).readonly()).readonly().default([]),
    services: z
      .array(z.discriminatedUnion('kind', [modelService, plainService]))
      .min(1)
      .readonly(),
    customers: z.array(customer).min(1).readonly(),
  })
  .readonly()
  .superRefine((manifest, ctx) => {
    checkUnique(manifest.availabilityZones, 'availabilityZones', ctx);
    checkUnique(manifest.models, 'models', ctx);
    checkUnique(manifest.services, 'services', ctx);
    checkUnique(manifest.customers, 'customers', ctx);
    const models = new Set(manifest.models.map((model) => model.name));
    const served = new Set<string>();
    manifest.services.forEach((service, i) => {
      const key = service.kind === 'model' ? `model ${service.model}` : `path ${service.path}`;
      if (served.has(key)) {
        ctx.addIssue({
          code: 'custom',
          path: ['services', i],
          message: `${key} is served by an earlier service already`,
        });
      }
      served.add(key);
      if (service.kind !== 'model') {
        return;
      }
      if (!models.has(service.model)) {
        ctx.addIssue({
          code: 'custom',
          path: ['services', i, 'model'],
          message: `model "${service.model}" is not in models`,
        });
      }
      service.groups.forEach((item, j) => {
        if (item.ranks * item.slotsPerRank < item.experts) {
          ctx.addIssue({
            code: 'custom',
            path: ['services', i, 'groups', j, 'slotsPerRank'],
            message: `${item.ranks} ranks × ${item.slotsPerRank} slots hold fewer than ${item.experts} experts`,
          });
        }
      });
    });
  });

/** A validated manifest. */
export type Manifest = z.infer<typeof manifestSchema>;

/** A service of a manifest. */
export type Service = Manifest['services'][number];

/** A customer of a manifest. */
export type Customer = Manifest['customers'][number];

/** A group of ranks of a model service. */
export type Group = z.infer<typeof group>;
