/**
 * The front node's configuration and discovery's events, read by a streaming parser; faults name the
 * field.
 */
package spanrill.node.config;
