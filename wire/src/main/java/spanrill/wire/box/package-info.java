/**
 * The link between a front and a box, over HTTP/1.1: names of paths and fields, load reports and notes. Both
 * the front and whoever writes a box read them here.
 */
package spanrill.wire.box;
