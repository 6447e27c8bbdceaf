/**
 * The front node's configuration and the bulletin's events, read by a streaming parser; faults name the
 * field.
 */
package spanrill.node.config;
