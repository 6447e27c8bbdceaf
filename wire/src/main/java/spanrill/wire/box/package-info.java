/**
 * The link between a front and a box, over HTTP/1.1: paths, header fields, load reports and notes. Fronts and
 * implementations of boxes share these definitions.
 */
package spanrill.wire.box;
