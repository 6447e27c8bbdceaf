/** An instance's settings, read from the operators' names; the same for the bench's wire and for a node. */
package spanrill.setup;
