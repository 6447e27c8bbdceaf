/** The list of boxes: long-polled from the registry and kept in a file for the next start. */
package spanrill.front.list;
