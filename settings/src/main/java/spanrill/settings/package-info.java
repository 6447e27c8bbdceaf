/**
 * Settings: Jsonnet files (evaluated by sjsonnet) checked against typed records. A record is the schema: its
 * components are the fields, {@link spanrill.settings.Default} gives a field that may be left out its value,
 * {@link spanrill.settings.Range} its bounds. Whatever doesn't fit is told with file, line, field and reason.
 */
package spanrill.settings;
