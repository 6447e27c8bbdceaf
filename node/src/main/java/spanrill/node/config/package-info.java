/**
 * Reads the configuration of the front node and the server list updates of discovery from JSON. Exceptions carry the
 * path of the invalid field.
 */
package spanrill.node.config;
