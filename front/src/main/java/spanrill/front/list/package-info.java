/** The list of boxes: long-polled from the registry, kept in a file for the next start. */
package spanrill.front.list;
