/**
 * Settings files in Jsonnet, evaluated by sjsonnet and checked against typed records. A record is the schema: its
 * components are the fields, {@link spanrill.settings.Default} makes a field optional, and
 * {@link spanrill.settings.Range} gives its bounds. An error names the file, line, field and reason.
 */
package spanrill.settings;
